package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds statements while a group has no primary, if one is expected before they are given up.
 *
 * <p>What can't be served in time is refused at once, with the time after which a primary is
 * expected.
 */
public final class PrimaryGate {
  /** How long a promotion takes before one has been seen, in milliseconds. */
  static final long FIRST_PROMOTION_MS = 1_000;

  /** How long it takes to find out that a primary is gone and to order the promotion. */
  static final long DECISION_MS = 200;

  /** The part of a statement's time limit that it may wait for a primary. */
  private static final double WAIT_SHARE = 0.8;

  private static final int MAX_WAITING = 500;

  private record Waiting(Runnable onPrimary, Runnable onGivenUp, Scheduler.Timer timer) {}

  private final Scheduler scheduler;
  private final Map<String, List<Waiting>> waiting = new HashMap<>();
  private final Map<String, Long> expectedAtMs = new HashMap<>();
  private long promotionMs = FIRST_PROMOTION_MS;
  private int count;

  /**
   * Creates a gate without waiting statements.
   *
   * @param scheduler the gateway's clock
   */
  public PrimaryGate(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * Waits for a primary, or does nothing if none is expected in time.
   *
   * @param service the service
   * @param untilMs the latest time at which a primary is of use, in milliseconds
   * @param onPrimary is called when there is a primary again
   * @param onGivenUp is called at that time if there is none
   * @return true if it waits
   */
  public boolean await(String service, long untilMs, Runnable onPrimary, Runnable onGivenUp) {
    long nowMs = scheduler.nowMs();
    if (count >= MAX_WAITING || nowMs + expectedMs(service) > untilMs) {
      return false;
    }
    List<Waiting> queue = waiting.computeIfAbsent(service, name -> new ArrayList<>());
    Runnable[] expire = new Runnable[1];
    Scheduler.Timer timer = scheduler.schedule(untilMs - nowMs, () -> expire[0].run());
    Waiting entry = new Waiting(onPrimary, onGivenUp, timer);
    expire[0] = () -> expire(service, entry);
    queue.add(entry);
    count++;
    return true;
  }

  /**
   * Returns how long it is expected to take until a service has a primary.
   *
   * @param service the service
   * @return milliseconds
   */
  public long expectedMs(String service) {
    Long atMs = expectedAtMs.get(service);
    long fullMs = DECISION_MS + promotionMs;
    return atMs == null ? fullMs : Math.max(0, atMs - scheduler.nowMs());
  }

  /**
   * Returns how long a statement may wait for a primary.
   *
   * @param statementTimeoutMs its time limit, in milliseconds
   * @return milliseconds
   */
  public long longestWaitMs(long statementTimeoutMs) {
    return (long) (statementTimeoutMs * WAIT_SHARE);
  }

  /**
   * Notes that a promotion was ordered.
   *
   * @param service the service
   */
  public void ordered(String service) {
    expectedAtMs.put(service, scheduler.nowMs() + promotionMs);
  }

  /**
   * Notes how long a promotion took.
   *
   * @param tookMs milliseconds
   */
  public void promoted(long tookMs) {
    promotionMs = tookMs;
  }

  /**
   * Lets the statements of a service go on, since it has a primary.
   *
   * @param service the service
   */
  public void open(String service) {
    expectedAtMs.remove(service);
    List<Waiting> queue = waiting.remove(service);
    if (queue == null) {
      return;
    }
    count -= queue.size();
    queue.forEach(entry -> entry.timer().cancel());
    queue.forEach(entry -> entry.onPrimary().run());
  }

  private void expire(String service, Waiting entry) {
    List<Waiting> queue = waiting.get(service);
    if (queue != null && queue.remove(entry)) {
      count--;
      entry.onGivenUp().run();
    }
  }
}
