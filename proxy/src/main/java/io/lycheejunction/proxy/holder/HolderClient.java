package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;

/**
 * Runs statements on targets through the proxies that hold their connection pools.
 *
 * <p>A call runs on this proxy if it holds the target's pool, and is forwarded once otherwise. The
 * methods block up to the request's deadline. A fault whose outcome is "refused, not run" proves
 * that the statement has not run and will not run; if that is uncertain, the fault is {@code
 * UNKNOWN_OUTCOME}.
 */
public interface HolderClient {

  /**
   * Returns the answer to a statement once its guarantees are met.
   *
   * <p>A write has the required durability in a term that is still confirmed. The data of a read
   * includes the required position and does not exceed the maximum age.
   *
   * @param statement the statement with its target and required guarantees
   * @return the answer, or why there is none
   */
  Result<HolderAnswer> execute(HolderStatement statement);

  /**
   * Returns the identifier of a new transaction, pinned to one connection of the primary.
   *
   * @param request the primary, its term and the limits of the transaction
   * @return the identifier, or why none was started
   */
  Result<TransactionId> beginTransaction(BeginRequest request);

  /**
   * Returns the answer to a step of an open transaction; the answer to a commit has the same
   * guarantees as that to a write.
   *
   * @param step the statement, commit or rollback
   * @return the answer, or why there is none
   */
  Result<HolderAnswer> executeStep(TransactionStep step);

  /**
   * Returns the outcome of an idempotency key that a majority has received in the given term.
   *
   * @param query the key, the primary and its term
   * @return the outcome, or why it is not known
   */
  Result<KeyAnswer> lookUpKey(KeyQuery query);

  /**
   * Returns a position that includes every write of the group that was acknowledged before this
   * call.
   *
   * @param group the name of the group
   * @param remainingMs the time that remains to the request's deadline, in milliseconds
   * @return the position, or {@code NO_PRIMARY} or {@code MAJORITY_LOST}
   */
  Result<LogPosition> latestAcknowledgedPosition(String group, long remainingMs);
}
