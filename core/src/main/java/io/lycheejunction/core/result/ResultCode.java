package io.lycheejunction.core.result;

import java.util.Arrays;
import java.util.Optional;

/**
 * The numbered result codes of all answers of the programs of lycheejunction.
 *
 * <p>The table in docs/RESULT-CODES.md lists each code with its meaning and the recommended
 * reaction.
 */
public enum ResultCode {
  /** The request was done. */
  DONE(1000, Outcome.DONE, 200),

  /** The body is not valid JSON. */
  BAD_JSON(1101, Outcome.REFUSED_NOT_RUN, 400),
  /** The service is not in the configuration in force. */
  UNKNOWN_SERVICE(1102, Outcome.REFUSED_NOT_RUN, 404),
  /** The body has a field that the API does not define. */
  UNKNOWN_FIELD(1103, Outcome.REFUSED_NOT_RUN, 422),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(1104, Outcome.REFUSED_NOT_RUN, 413),
  /** The session token is malformed or its signature is wrong. */
  BAD_TOKEN(1105, Outcome.REFUSED_NOT_RUN, 401),
  /** The idempotency key is not a version 7 UUID. */
  BAD_KEY(1106, Outcome.REFUSED_NOT_RUN, 428),
  /** The idempotency key is older than the retention period of the ledger. */
  KEY_EXPIRED(1107, Outcome.REFUSED_NOT_RUN, 410),
  /** A field has a value outside its range. */
  BAD_VALUE(1108, Outcome.REFUSED_NOT_RUN, 400),
  /** The target rejected the statement as invalid. */
  BAD_STATEMENT(1109, Outcome.REFUSED_NOT_RUN, 400),
  /** The transaction is not open on the proxy that its identifier names. */
  UNKNOWN_TRANSACTION(1110, Outcome.REFUSED_NOT_RUN, 404),
  /** The idempotency key is recorded for another statement. */
  KEY_REUSED(1111, Outcome.REFUSED_NOT_RUN, 409),
  /** The session has no prepared statement of this name. */
  UNKNOWN_PREPARED(1112, Outcome.REFUSED_NOT_RUN, 404),
  /** The transaction has failed and accepts only the request that ends it. */
  TRANSACTION_FAILED(1113, Outcome.REFUSED_NOT_RUN, 409),

  /** The queue of the target is full. */
  QUEUE_FULL(1201, Outcome.REFUSED_NOT_RUN, 503),
  /** The expected queue wait is longer than the time that remains for the request. */
  WAIT_TOO_LONG(1202, Outcome.REFUSED_NOT_RUN, 503),
  /** The deadline passed before the request was dispatched. */
  DEADLINE_EXCEEDED(1203, Outcome.REFUSED_NOT_RUN, 504),
  /** The proxy is shutting down and accepts no new requests. */
  SHUTTING_DOWN(1204, Outcome.REFUSED_NOT_RUN, 503),
  /** No connection to the target could be obtained. */
  NO_CONNECTION(1205, Outcome.REFUSED_NOT_RUN, 503),
  /** The circuit breaker of the target is open. */
  CIRCUIT_OPEN(1206, Outcome.REFUSED_NOT_RUN, 503),
  /** The target has no free slot for another statement. */
  TARGET_BUSY(1207, Outcome.REFUSED_NOT_RUN, 503),
  /** The target has reached its connection limit. */
  TARGET_CONNECTIONS_FULL(1208, Outcome.REFUSED_NOT_RUN, 503),
  /** The organisation of the caller has used up its quota for now. */
  QUOTA_EXCEEDED(1209, Outcome.REFUSED_NOT_RUN, 429),
  /** The VM has no memory or no descriptor left for the connection. */
  MEMORY_SHORT(1210, Outcome.REFUSED_NOT_RUN, 503),

  /** No primary of the group is known. */
  NO_PRIMARY(1301, Outcome.REFUSED_NOT_RUN, 503),
  /** The target is not the primary of the given term. */
  NOT_PRIMARY(1302, Outcome.REFUSED_NOT_RUN, 503),
  /** A majority of the group's instances cannot be reached. */
  MAJORITY_LOST(1303, Outcome.REFUSED_NOT_RUN, 503),
  /** The target cannot be reached and the request was not sent. */
  TARGET_UNREACHABLE(1304, Outcome.REFUSED_NOT_RUN, 503),
  /** The target is leaving and accepts no new requests. */
  TARGET_LEAVING(1305, Outcome.REFUSED_NOT_RUN, 503),
  /** The proxy that received a forwarded request does not hold the target's connection pool. */
  NOT_HOLDER(1306, Outcome.REFUSED_NOT_RUN, 503),
  /** The peer proxy cannot be reached and the request was not sent. */
  PEER_UNREACHABLE(1307, Outcome.REFUSED_NOT_RUN, 503),
  /** Another claimant holds the term. */
  TERM_TAKEN(1308, Outcome.REFUSED_NOT_RUN, 409),
  /** A target other than the expected one listens at the address. */
  WRONG_TARGET(1309, Outcome.REFUSED_NOT_RUN, 503),

  /** No allowed target has applied the log position that the session requires. */
  NOT_FRESH(1401, Outcome.REFUSED_NOT_RUN, 503),
  /** The age of the reachable data cannot be proven to be within the allowed maximum. */
  AGE_NOT_PROVEN(1402, Outcome.REFUSED_NOT_RUN, 503),

  /** The request is proven not to have run and cannot run later: its key is cancelled. */
  CANCELLED(1501, Outcome.REFUSED_NOT_RUN, 409),
  /** The request was sent and its effect is not known yet. */
  UNKNOWN_OUTCOME(1502, Outcome.OUTCOME_UNKNOWN, 504),
  /** The idempotency key has no record; a statement with this key may still be in transit. */
  KEY_NOT_FOUND(1503, Outcome.OUTCOME_UNKNOWN, 404),
  /** The transaction was rolled back. */
  ROLLED_BACK(1504, Outcome.REFUSED_NOT_RUN, 409),
  /** The target ran the statement and reported a failure. */
  STATEMENT_FAILED(1505, Outcome.OUTCOME_UNKNOWN, 500),
  /** The statement exceeded its time limit. */
  STATEMENT_TIMEOUT(1506, Outcome.OUTCOME_UNKNOWN, 504),

  /** The configuration is at another version than the command requires. */
  VERSION_CONFLICT(1601, Outcome.REFUSED_NOT_RUN, 409),
  /** The change cannot be applied to the configuration in force. */
  INVALID_CHANGE(1602, Outcome.REFUSED_NOT_RUN, 422),
  /** The platform's store refused or could not be reached; the change was not written. */
  STORE_UNAVAILABLE(1603, Outcome.REFUSED_NOT_RUN, 503),
  /** The platform's store gave no answer; the change may be written. */
  STORE_UNKNOWN(1604, Outcome.OUTCOME_UNKNOWN, 504),
  /** The command does not follow the grammar of the operator language. */
  SYNTAX_ERROR(1605, Outcome.REFUSED_NOT_RUN, 400),
  /** No change has the given identifier. */
  UNKNOWN_CHANGE(1606, Outcome.REFUSED_NOT_RUN, 404),
  /** A row of the configuration log cannot be applied. */
  POISONED_ROW(1607, Outcome.REFUSED_NOT_RUN, 500),

  /** No credential was presented. */
  NO_CREDENTIAL(1701, Outcome.REFUSED_NOT_RUN, 401),
  /** The credential is not valid. */
  WRONG_CREDENTIAL(1702, Outcome.REFUSED_NOT_RUN, 401),
  /** The credential is valid but does not allow the request. */
  NOT_ALLOWED(1703, Outcome.REFUSED_NOT_RUN, 403),

  /** A setting of the process is missing or outside its range. */
  BAD_SETTING(1801, Outcome.REFUSED_NOT_RUN, 500),

  /** The proxy failed before the request was dispatched. */
  INTERNAL_NOT_RUN(1901, Outcome.REFUSED_NOT_RUN, 500),
  /** The proxy failed after the request was dispatched. */
  INTERNAL_UNKNOWN(1902, Outcome.OUTCOME_UNKNOWN, 500);

  private final int number;
  private final Outcome outcome;
  private final int httpStatus;

  ResultCode(int number, Outcome outcome, int httpStatus) {
    this.number = number;
    this.outcome = outcome;
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the code of the given number.
   *
   * @param number the number
   * @return the code, or empty if no code has the number
   */
  public static Optional<ResultCode> ofNumber(int number) {
    return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
  }

  /**
   * Returns the code's number, which never changes once published.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns what is known about the effect of a request with this code.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns the HTTP status code of an answer with this code.
   *
   * @return the HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }
}
