package io.lycheejunction.core.port;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;

/**
 * Reaches the instances of database groups.
 *
 * <p>The methods block up to their timeout. A failure with {@code TARGET_UNREACHABLE} whose detail
 * starts with {@code refused} means that the instance's address refused the connection; any other
 * failure is silence.
 */
public interface TargetPort {

  /**
   * Returns a new session on the instance.
   *
   * @param target the instance
   * @param timeoutMs the time to wait, in milliseconds
   * @return the session, or why none was opened
   */
  Result<TargetConnection> open(TargetSpec target, long timeoutMs);

  /**
   * Returns what the instance says of itself.
   *
   * @param target the instance
   * @param timeoutMs the time to wait, in milliseconds
   * @return the status
   */
  Result<TargetStatus> status(TargetSpec target, long timeoutMs);

  /**
   * Returns the instance's status once it has received the position, or at the latest after the
   * timeout whatever its status is then.
   *
   * @param target the instance
   * @param position the position to wait for
   * @param timeoutMs the time to wait, in milliseconds
   * @return the status
   */
  Result<TargetStatus> awaitReceived(TargetSpec target, LogPosition position, long timeoutMs);

  /**
   * Returns the instance's status after it has accepted the term for the claimant.
   *
   * <p>The instance accepts a term that is higher than its own, and again the same term from the
   * same claimant. From then on it refuses log entries and writes of lower terms, and is a replica.
   *
   * @param target the instance
   * @param term the claimed term
   * @param claimant identifies the claim
   * @param timeoutMs the time to wait, in milliseconds
   * @return the status, or {@code TERM_TAKEN}
   */
  Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs);

  /**
   * Returns the instance's status after it has become the primary of the term.
   *
   * <p>Only an instance that was fenced at that term for that claimant is promoted. It appends one
   * entry of the new term at once. Repeating the call has no further effect.
   *
   * @param target the instance
   * @param term the claimed term
   * @param claimant identifies the claim
   * @param timeoutMs the time to wait, in milliseconds
   * @return the status, or {@code TERM_TAKEN}
   */
  Result<TargetStatus> promote(TargetSpec target, long term, String claimant, long timeoutMs);

  /**
   * Returns what the primary's ledger records for a key.
   *
   * @param target the primary
   * @param term the term in which it must be the primary
   * @param key the idempotency key
   * @param timeoutMs the time to wait, in milliseconds
   * @return the outcome, or why it is not known
   */
  Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs);

  /**
   * Returns the outcome of a key after writing a cancel row if the ledger had none.
   *
   * @param target the primary
   * @param term the term in which it must be the primary
   * @param key the idempotency key
   * @param timeoutMs the time to wait, in milliseconds
   * @return recorded or cancelled, or why it is not known
   */
  Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs);
}
