package io.lycheejunction.gateway.holder;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Optional;
import java.util.Set;

/**
 * Whether a VM that forwards can serve its callers at all, by how their statements end.
 *
 * <p>In a failure domain that is cut off, holders refuse for want of a primary or do not answer;
 * callers are served better elsewhere then.
 */
public final class ForwardingHealth {
  /** How long nothing may succeed, in milliseconds. */
  static final long WITHOUT_SUCCESS_MS = 1_000;

  /** How long failures count, in milliseconds; then callers may try this VM again. */
  static final long FORGOTTEN_MS = 4_000;

  private static final int MIN_FAILURES = 3;

  private static final Set<ResultCode> SAY_NOTHING =
      Set.of(ResultCode.BAD_STATEMENT, ResultCode.UNKNOWN_PREPARED, ResultCode.STATEMENT_FAILED);

  private final Scheduler scheduler;
  private long succeededMs;
  private long failedMs;
  private int failures;

  /**
   * Creates a record without statements.
   *
   * @param scheduler the gateway's clock
   */
  public ForwardingHealth(Scheduler scheduler) {
    this.scheduler = scheduler;
    this.succeededMs = scheduler.nowMs();
  }

  /**
   * Records how a statement ended.
   *
   * @param fault why it failed, or empty if it succeeded
   */
  public void ended(Optional<Fault> fault) {
    if (fault.isEmpty()) {
      succeededMs = scheduler.nowMs();
      failures = 0;
    } else if (!SAY_NOTHING.contains(fault.get().code())) {
      failedMs = scheduler.nowMs();
      failures++;
    }
  }

  /**
   * Returns whether nothing has succeeded lately although callers tried.
   *
   * @return true if callers are served better elsewhere
   */
  public boolean isCutOff() {
    long nowMs = scheduler.nowMs();
    return failures >= MIN_FAILURES
        && nowMs - succeededMs >= WITHOUT_SUCCESS_MS
        && nowMs - failedMs < FORGOTTEN_MS;
  }
}
