package io.lycheejunction.core.freshness;

import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;

/**
 * A history of the log positions that a group's primary reported while its leadership was proven.
 *
 * <p>A position requested at some time includes every commit acknowledged before that time, so a
 * replica that has applied the position lacks no commit older than the request. Not safe for
 * concurrent use.
 */
public final class PrimaryPositionHistory {
  /**
   * The shortest time between two recorded positions of a term, in milliseconds; positions closer
   * together hardly change the result of {@link #floor}.
   */
  public static final long SPACING_MS = 20;

  private record TimedPosition(long requestedMs, LogPosition position) {}

  private final long retentionMs;
  private final Deque<TimedPosition> history = new ArrayDeque<>();
  private long validFromMs = Long.MIN_VALUE;

  /**
   * Creates a history without positions.
   *
   * @param retentionMs the time for which positions are kept, in milliseconds: the largest maximum
   *     age of a read
   */
  public PrimaryPositionHistory(long retentionMs) {
    this.retentionMs = retentionMs;
  }

  /**
   * Records a position.
   *
   * @param requestedMs the time at which the position was requested, in milliseconds
   * @param position the position that a proven primary reported
   */
  public void record(long requestedMs, LogPosition position) {
    Objects.requireNonNull(position, "position is null");
    if (requestedMs < validFromMs) {
      return;
    }
    TimedPosition last = history.peekLast();
    if (last != null && !shouldRecord(last, requestedMs, position)) {
      return;
    }
    history.addLast(new TimedPosition(requestedMs, position));
    while (history.peekFirst().requestedMs() < requestedMs - retentionMs) {
      history.removeFirst();
    }
  }

  private static boolean shouldRecord(TimedPosition last, long requestedMs, LogPosition position) {
    if (position.term() != last.position().term()) {
      return position.term() > last.position().term();
    }
    return requestedMs >= last.requestedMs() + SPACING_MS;
  }

  /**
   * Returns the lowest position that a replica must have applied to serve a read.
   *
   * <p>Positions of an earlier term than the newest known one are not used: a promotion may have
   * discarded them from every log, and the positions of the newest term include everything that it
   * kept.
   *
   * @param nowMs the time of the read, in milliseconds
   * @param maxAgeMs the maximum age of the data that the read accepts, in milliseconds
   * @param sessionCommit the latest commit of the read's session, or {@code ORIGIN}
   * @return the position, or empty if no position is recent enough
   */
  public Optional<LogPosition> floor(long nowMs, long maxAgeMs, LogPosition sessionCommit) {
    if (history.isEmpty()) {
      return Optional.empty();
    }
    long newestTerm = history.peekLast().position().term();
    for (TimedPosition recorded : history) {
      if (recorded.requestedMs() >= nowMs - maxAgeMs && recorded.position().term() == newestTerm) {
        LogPosition floor = recorded.position();
        return Optional.of(sessionCommit.term() < newestTerm ? floor : floor.max(sessionCommit));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the age of the newest position.
   *
   * @param nowMs the current time, in milliseconds
   * @return the age in milliseconds, or {@code Long.MAX_VALUE} if there is no position
   */
  public long newestAgeMs(long nowMs) {
    TimedPosition last = history.peekLast();
    return last == null ? Long.MAX_VALUE : nowMs - last.requestedMs();
  }

  /**
   * Returns the term of the newest position.
   *
   * @return the term, or 0 if there is no position
   */
  public long newestTerm() {
    TimedPosition last = history.peekLast();
    return last == null ? 0 : last.position().term();
  }

  /**
   * Removes all positions, and makes the history ignore answers to earlier requests.
   *
   * <p>Called when the clock may have missed time, as after a suspension of the VM, since the
   * recorded positions would then seem younger than they are.
   *
   * @param nowMs the current time, in milliseconds
   */
  public void invalidateBefore(long nowMs) {
    history.clear();
    validFromMs = nowMs;
  }
}
