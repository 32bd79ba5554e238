package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The answer to a caller's request.
 *
 * @param code the result code
 * @param detail a one-line explanation, empty for {@code DONE}
 * @param rows the rows, in order
 * @param session the session token after the request
 * @param replayed true if the rows come from an earlier execution with the same idempotency key
 * @param target the target that answered, if one did
 * @param ageMs the proven upper bound of the data's age, in milliseconds, if there is one
 * @param retryAfterMs the minimum delay before a retry, in milliseconds; 0 if unknown
 * @param transaction the identifier of the new transaction, if the request began one
 */
public record Answer(
    ResultCode code,
    String detail,
    List<String> rows,
    SessionToken session,
    boolean replayed,
    Optional<String> target,
    Optional<Long> ageMs,
    long retryAfterMs,
    Optional<String> transaction) {
  /** Copies the rows and rejects null components. */
  public Answer {
    Objects.requireNonNull(code, "code is null");
    Objects.requireNonNull(detail, "detail is null");
    rows = List.copyOf(rows);
    Objects.requireNonNull(session, "session is null");
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(ageMs, "ageMs is null");
    Objects.requireNonNull(transaction, "transaction is null");
  }

  /**
   * Returns an answer without rows for a request that failed.
   *
   * @param fault the fault
   * @param session the session token of the request
   * @return the answer
   */
  static Answer of(Fault fault, SessionToken session) {
    return new Answer(
        fault.code(),
        fault.detail(),
        List.of(),
        session,
        false,
        Optional.empty(),
        Optional.empty(),
        fault.retryAfterMs(),
        Optional.empty());
  }

  /**
   * Returns the answer to a request that succeeded.
   *
   * @param rows the rows, in order
   * @param session the session token after the request
   * @param replayed true if the rows come from an earlier execution with the same idempotency key
   * @param target the target that answered, if it is known
   * @param ageMs the proven upper bound of the data's age, in milliseconds, if there is one
   * @return the answer
   */
  static Answer done(
      List<String> rows,
      SessionToken session,
      boolean replayed,
      Optional<String> target,
      Optional<Long> ageMs) {
    return new Answer(
        ResultCode.DONE, "", rows, session, replayed, target, ageMs, 0, Optional.empty());
  }

  /**
   * Returns a copy of this answer with a transaction's identifier.
   *
   * @param id the identifier of the transaction
   * @return the answer
   */
  Answer withTransaction(String id) {
    return new Answer(
        code, detail, rows, session, replayed, target, ageMs, retryAfterMs, Optional.of(id));
  }
}
