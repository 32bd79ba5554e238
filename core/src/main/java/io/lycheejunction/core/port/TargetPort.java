package io.lycheejunction.core.port;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;

/**
 * Sends requests to the instances of database groups.
 *
 * <p>The methods block until the reply arrives or the timeout expires. A failure with {@code
 * TARGET_UNREACHABLE} whose detail starts with {@code refused} means that the instance's address
 * refused the connection. Any other failure counts as no answer.
 */
public interface TargetPort {

  /**
   * Returns a new session on the instance.
   *
   * @param target the instance
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return the session, or the reason why none was opened
   */
  Result<TargetConnection> openSession(TargetSpec target, long timeoutMs);

  /**
   * Returns the status that the instance reports.
   *
   * @param target the instance
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return the status
   */
  Result<TargetStatus> status(TargetSpec target, long timeoutMs);

  /**
   * Returns the status of the instance when it has received a log position or the timeout expires.
   *
   * @param target the instance
   * @param position the log position to wait for
   * @param timeoutMs the maximum time to wait for the position, in milliseconds
   * @return the status
   */
  Result<TargetStatus> awaitReceived(TargetSpec target, LogPosition position, long timeoutMs);

  /**
   * Returns the status of the instance after fencing it at a term for a claimant.
   *
   * <p>The instance accepts a term that is higher than its own, or its own term from the same
   * claimant. It then refuses log entries and writes of lower terms and is a replica.
   *
   * @param target the instance
   * @param term the claimed term
   * @param claimant the identifier of the claim to the term
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return the status, or {@code TERM_TAKEN}
   */
  Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs);

  /**
   * Returns the status of the instance after promoting it to the primary of a term.
   *
   * <p>Only an instance that was fenced at this term for this claimant is promoted. It immediately
   * appends one log entry of the new term. The call is idempotent.
   *
   * @param target the instance
   * @param term the claimed term
   * @param claimant the identifier of the claim to the term
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return the status, or {@code TERM_TAKEN}
   */
  Result<TargetStatus> promote(TargetSpec target, long term, String claimant, long timeoutMs);

  /**
   * Returns the outcome that the primary's ledger records for a key.
   *
   * @param target the primary
   * @param term the term in which the target must be the primary
   * @param key the idempotency key
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return the outcome, or the reason why it is not known
   */
  Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs);

  /**
   * Returns the outcome of a key after writing a cancel row if the ledger had no row for it.
   *
   * @param target the primary
   * @param term the term in which the target must be the primary
   * @param key the idempotency key
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return recorded or cancelled, or the reason why the outcome is not known
   */
  Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs);
}
