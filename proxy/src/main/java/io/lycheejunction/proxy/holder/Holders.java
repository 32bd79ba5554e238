package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;

/**
 * Runs statements on targets through the proxies that hold their connection pools.
 *
 * <p>Each call runs here if this proxy holds the target's pool, and is forwarded once otherwise.
 * The methods block up to the request's deadline. A fault whose outcome is "refused, not run" is
 * proof that the statement has not run and will not run; any doubt is {@code UNKNOWN_OUTCOME}.
 */
public interface Holders {

  /**
   * Returns the answer to a statement after its rules hold: a write is received as its durability
   * says and its term still confirmed; a read sees its floor and is within its age.
   *
   * @param statement the statement
   * @return the answer or the fault
   */
  Result<HeldAnswer> execute(HeldStatement statement);

  /**
   * Returns the identifier of a new transaction, pinned to one connection of the primary.
   *
   * @param start the start
   * @return the identifier or the fault
   */
  Result<TransactionId> begin(TransactionStart start);

  /**
   * Returns the answer to a step of an open transaction; the answer to a commit obeys the same
   * rules as a write.
   *
   * @param step the step
   * @return the answer or the fault
   */
  Result<HeldAnswer> step(TransactionStep step);

  /**
   * Returns the outcome of an idempotency key, as received by a majority in the named term.
   *
   * @param query the query
   * @return the outcome or the fault
   */
  Result<KeyAnswer> outcome(KeyQuery query);

  /**
   * Returns a position that includes every write of the group that was acknowledged before this
   * call.
   *
   * @param group the name of the group
   * @param remainingMs the time that remains to the request's deadline, in milliseconds
   * @return the position, or {@code NO_PRIMARY} or {@code MAJORITY_LOST}
   */
  Result<LogPosition> floor(String group, long remainingMs);
}
