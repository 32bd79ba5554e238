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
 * Counts each decided statement and writes a line about it, within a budget.
 *
 * <p>Refusals and unknown outcomes go before successes: each has a budget of its own, and what is
 * beyond it is counted and reported with the next line of its kind.
 */
public final class StatementJournal {
  private static final EventLog LOG = EventLog.of(StatementJournal.class);

  /** The lines of each kind in a window. */
  static final int LINES_PER_WINDOW = 100;

  private static final long WINDOW_MS = 1_000;

  /**
   * How a statement ended, and on what that rested.
   *
   * @param work the statement
   * @param target the identifier of the last target, or empty if none was asked
   * @param floor the position that the statement had to see
   * @param proofAgeMs the age of the newest proven position, in milliseconds
   * @param tries the targets that were asked
   * @param tookMs how long it took, in milliseconds
   * @param fault why it has no answer
   */
  public record Entry(
      Work work,
      Optional<String> target,
      Optional<LogPosition> floor,
      long proofAgeMs,
      int tries,
      long tookMs,
      Optional<Fault> fault) {}

  private final Scheduler scheduler;
  private final GatewayMetrics metrics;
  private final Budget successes = new Budget();
  private final Budget faults = new Budget();
  private long configurationVersion;
  private Consumer<Optional<Fault>> onEnded = fault -> {};

  /**
   * Creates a journal.
   *
   * @param scheduler the gateway's clock
   * @param metrics counts what is written down, also beyond the budget
   */
  public StatementJournal(Scheduler scheduler, GatewayMetrics metrics) {
    this.scheduler = scheduler;
    this.metrics = metrics;
  }

  /**
   * Sets who is told how each statement ends.
   *
   * @param changed is given the fault, or nothing after a success
   */
  public void tell(Consumer<Optional<Fault>> changed) {
    onEnded = changed;
  }

  /**
   * Sets the version of the configuration that decisions rest on from now on.
   *
   * @param version the version
   */
  public void configuration(long version) {
    configurationVersion = version;
  }

  /**
   * Writes a line.
   *
   * @param entry what was decided
   */
  public void write(Entry entry) {
    onEnded.accept(entry.fault());
    metrics.statement(
        entry.work().route().service(),
        entry.work().writes(),
        entry.fault().map(Fault::code).orElse(ResultCode.DONE),
        entry.tookMs());
    Budget budget = entry.fault().isPresent() ? faults : successes;
    long dropped = budget.take(scheduler.nowMs());
    if (dropped < 0) {
      return;
    }
    LOG.info(
        "statement",
        "id",
        entry.work().requestId(),
        "database",
        entry.work().route().database(),
        "service",
        entry.work().route().service(),
        "writes",
        entry.work().writes(),
        "target",
        entry.target().orElse("-"),
        "floor",
        entry.floor().map(StatementJournal::text).orElse("-"),
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

  private static String text(LogPosition position) {
    return position.term() + "." + position.offset();
  }

  private static final class Budget {
    private long windowStartMs = Long.MIN_VALUE;
    private int used;
    private long dropped;

    /** Returns the lines dropped since the last one, or -1 if this one is dropped too. */
    private long take(long nowMs) {
      if (windowStartMs == Long.MIN_VALUE || nowMs - windowStartMs >= WINDOW_MS) {
        windowStartMs = nowMs;
        used = 0;
      }
      if (used >= LINES_PER_WINDOW) {
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
