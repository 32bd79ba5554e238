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
 * @param detail one line for a person
 * @param rows the rows, in order
 * @param session what the session must see from now on
 * @param replayed true if the rows come from an earlier run under the same key
 * @param target the target that answered, if one did
 * @param ageMs the proven bound of the data's age, in milliseconds, if there is one
 * @param retryAfterMs the time after which a retry is worthwhile, in milliseconds; 0 if unknown
 * @param transaction the identifier of the transaction that was begun, if one was
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
   * Returns the answer to a request that has no rows because of a fault.
   *
   * @param fault the fault
   * @param session what the session must see
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
   * Returns the answer to a request that was done.
   *
   * @param rows the rows
   * @param session what the session must see from now on
   * @param replayed true if the rows come from an earlier run under the same key
   * @param target the target that answered, if it is known
   * @param ageMs the proven bound of the data's age, in milliseconds, if there is one
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
   * Returns this answer with a transaction's identifier.
   *
   * @param id the identifier
   * @return the answer
   */
  Answer withTransaction(String id) {
    return new Answer(
        code, detail, rows, session, replayed, target, ageMs, retryAfterMs, Optional.of(id));
  }
}
