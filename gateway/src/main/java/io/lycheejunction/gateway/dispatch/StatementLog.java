package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.metrics.GatewayMetrics;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Counts each finished statement and logs a line about it, within a rate limit.
 *
 * <p>Successes have a budget separate from that of refusals and unknown outcomes, so that they
 * can't displace them. Lines beyond a budget are counted and reported with the next line of their
 * kind.
 */
public final class StatementLog {
  private static final EventLog LOG = EventLog.of(StatementLog.class);

  /** The maximum number of lines of each kind in a window. */
  static final int MAX_LINES_PER_WINDOW = 100;

  private static final long WINDOW_MS = 1_000;

  /**
   * The outcome of a statement and the data behind the selection of its target.
   *
   * @param request the statement
   * @param target the identifier of the last target, or empty if none was tried
   * @param floor the log position that the target had to have reached
   * @param proofAgeMs the age of the newest proven position, in milliseconds; {@code
   *     Long.MAX_VALUE} if there is none
   * @param tries the number of targets that were tried
   * @param tookMs the duration of the statement, in milliseconds
   * @param fault the fault, or empty after a success
   */
  public record Entry(
      StatementRequest request,
      Optional<String> target,
      Optional<LogPosition> floor,
      long proofAgeMs,
      int tries,
      long tookMs,
      Optional<Fault> fault) {}

  private final Scheduler scheduler;
  private final GatewayMetrics metrics;
  private final LineBudget successes = new LineBudget();
  private final LineBudget faults = new LineBudget();
  private long configurationVersion;
  private Consumer<Entry> onEnded = entry -> {};

  /**
   * Creates a statement log.
   *
   * @param scheduler the gateway's clock
   * @param metrics counts every statement, also those beyond the budget
   */
  public StatementLog(Scheduler scheduler, GatewayMetrics metrics) {
    this.scheduler = scheduler;
    this.metrics = metrics;
  }

  /**
   * Sets the callback that receives the outcome of each statement.
   *
   * @param callback receives the outcome of each statement
   */
  public void setResultListener(Consumer<Entry> callback) {
    onEnded = callback;
  }

  /**
   * Sets the configuration version to log from now on.
   *
   * @param version the version in force
   */
  public void setConfigurationVersion(long version) {
    configurationVersion = version;
  }

  /**
   * Counts a finished statement and logs it, unless the budget is used up.
   *
   * @param entry the outcome of the statement
   */
  public void write(Entry entry) {
    onEnded.accept(entry);
    metrics.recordStatement(
        entry.request().route().service(),
        entry.request().writes(),
        entry.fault().map(Fault::code).orElse(ResultCode.DONE),
        entry.tookMs());
    LineBudget budget = entry.fault().isPresent() ? faults : successes;
    long dropped = budget.take(scheduler.nowMs());
    if (dropped < 0) {
      return;
    }
    LOG.info(
        "statement",
        "id",
        entry.request().requestId(),
        "database",
        entry.request().route().database(),
        "service",
        entry.request().route().service(),
        "writes",
        entry.request().writes(),
        "target",
        entry.target().orElse("-"),
        "floor",
        entry.floor().map(StatementLog::formatPosition).orElse("-"),
        "proof_age_ms",
        entry.proofAgeMs() == Long.MAX_VALUE ? "-" : entry.proofAgeMs(),
        "configuration",
        configurationVersion,
        "tries",
        entry.tries(),
        "took_ms",
        entry.tookMs(),
        "code",
        entry.fault().map(Fault::code).orElse(ResultCode.DONE),
        "detail",
        entry.fault().map(Fault::detail).orElse("-"),
        "retry_after_ms",
        entry.fault().map(Fault::retryAfterMs).orElse(0L),
        "dropped_lines",
        dropped);
  }

  private static String formatPosition(LogPosition position) {
    return position.term() + "." + position.offset();
  }

  private static final class LineBudget {
    private long windowStartMs = Long.MIN_VALUE;
    private int used;
    private long dropped;

    /** Returns the number of lines dropped since the last one, or -1 if this one is dropped too. */
    private long take(long nowMs) {
      if (windowStartMs == Long.MIN_VALUE || nowMs - windowStartMs >= WINDOW_MS) {
        windowStartMs = nowMs;
        used = 0;
      }
      if (used >= MAX_LINES_PER_WINDOW) {
        dropped++;
        return -1;
      }
      used++;
      long before = dropped;
      dropped = 0;
      return before;
    }
  }
}
