package io.lycheejunction.gateway.holder;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Optional;
import java.util.Set;

/**
 * Detects from the results of forwarded statements that a VM cannot serve its callers.
 *
 * <p>In a failure domain that is cut off, holders refuse statements because they have no primary,
 * or do not answer at all. Callers should use VMs in other failure domains then.
 */
public final class ForwardingHealth {
  /** How long no statement has succeeded until the VM counts as cut off, in milliseconds. */
  static final long MAX_WITHOUT_SUCCESS_MS = 1_000;

  /** How long failures count, in milliseconds. Callers may try this VM again afterwards. */
  static final long FAILURES_EXPIRE_MS = 4_000;

  private static final int MIN_FAILURES = 3;

  private static final Set<ResultCode> STATEMENT_FAULTS =
      Set.of(ResultCode.BAD_STATEMENT, ResultCode.UNKNOWN_PREPARED, ResultCode.STATEMENT_FAILED);

  private final Scheduler scheduler;
  private long lastSuccessMs;
  private long lastFailureMs;
  private int failureCount;

  /**
   * Creates a detector that has recorded no statements.
   *
   * @param scheduler the clock of the gateway's thread
   */
  public ForwardingHealth(Scheduler scheduler) {
    this.scheduler = scheduler;
    this.lastSuccessMs = scheduler.nowMs();
  }

  /**
   * Records the result of a statement.
   *
   * @param fault why it failed, or empty if it succeeded
   */
  public void recordResult(Optional<Fault> fault) {
    if (fault.isEmpty()) {
      lastSuccessMs = scheduler.nowMs();
      failureCount = 0;
    } else if (!STATEMENT_FAULTS.contains(fault.get().code())) {
      lastFailureMs = scheduler.nowMs();
      failureCount++;
    }
  }

  /**
   * Returns whether recent statements have failed and none has succeeded.
   *
   * @return true if callers should use other VMs
   */
  public boolean isCutOff() {
    long nowMs = scheduler.nowMs();
    return failureCount >= MIN_FAILURES
        && nowMs - lastSuccessMs >= MAX_WITHOUT_SUCCESS_MS
        && nowMs - lastFailureMs < FAILURES_EXPIRE_MS;
  }
}
