package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queues statements while a group has no primary, if one is expected before their wait ends.
 *
 * <p>Other statements are not queued; their callers refuse them at once and use the time until a
 * primary is expected as the retry-after hint.
 */
public final class PrimaryGate {
  /** Estimated duration of a promotion until the first one is measured, in milliseconds. */
  static final long INITIAL_PROMOTION_MS = 1_000;

  /** Time to detect the loss of a primary and to order the promotion, in milliseconds. */
  static final long DETECTION_MS = 200;

  /** The fraction of its time limit that a statement may wait for a primary. */
  private static final double MAX_WAIT_FRACTION = 0.8;

  private static final int MAX_WAITING_STATEMENTS = 500;

  private record Waiter(Runnable onPrimary, Runnable onExpired, Scheduler.Timer timer) {}

  private final Scheduler scheduler;
  private final Map<String, List<Waiter>> waiting = new HashMap<>();
  private final Map<String, Long> expectedAtMs = new HashMap<>();
  private long promotionMs = INITIAL_PROMOTION_MS;
  private int waitingCount;

  /**
   * Creates a gate without waiting statements.
   *
   * @param scheduler the gateway's clock and timers
   */
  public PrimaryGate(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * Queues a statement until there is a primary, unless none is expected in time or the queue is
   * full.
   *
   * @param service the name of the service
   * @param untilMs the time at which the wait ends, in milliseconds
   * @param onPrimary is called when there is a primary again
   * @param onExpired is called at {@code untilMs} if there is still no primary
   * @return true if the statement waits; otherwise neither callback is called
   */
  public boolean await(String service, long untilMs, Runnable onPrimary, Runnable onExpired) {
    long nowMs = scheduler.nowMs();
    if (waitingCount >= MAX_WAITING_STATEMENTS || nowMs + expectedWaitMs(service) > untilMs) {
      return false;
    }
    List<Waiter> queue = waiting.computeIfAbsent(service, name -> new ArrayList<>());
    Runnable[] expire = new Runnable[1];
    Scheduler.Timer timer = scheduler.schedule(untilMs - nowMs, () -> expire[0].run());
    Waiter entry = new Waiter(onPrimary, onExpired, timer);
    expire[0] = () -> expire(service, entry);
    queue.add(entry);
    waitingCount++;
    return true;
  }

  /**
   * Returns the expected time until a service has a primary.
   *
   * @param service the name of the service
   * @return the time, in milliseconds
   */
  public long expectedWaitMs(String service) {
    Long atMs = expectedAtMs.get(service);
    long fullMs = DETECTION_MS + promotionMs;
    return atMs == null ? fullMs : Math.max(0, atMs - scheduler.nowMs());
  }

  /**
   * Returns the maximum time for which a statement may wait for a primary.
   *
   * @param statementTimeoutMs its time limit, in milliseconds
   * @return the time, in milliseconds
   */
  public long maxWaitMs(long statementTimeoutMs) {
    return (long) (statementTimeoutMs * MAX_WAIT_FRACTION);
  }

  /**
   * Records that a promotion was ordered just now.
   *
   * @param service the name of the service
   */
  public void onPromotionOrdered(String service) {
    expectPromotion(service, 0);
  }

  /**
   * Records that a promotion will be ordered.
   *
   * @param service the name of the service
   * @param delayMs the time until then, in milliseconds
   */
  public void expectPromotion(String service, long delayMs) {
    expectPrimary(service, delayMs + promotionMs);
  }

  /**
   * Records that a service will probably have a primary soon, though no promotion was ordered.
   *
   * @param service the name of the service
   * @param withinMs the expected time until then, in milliseconds
   */
  public void expectPrimary(String service, long withinMs) {
    expectedAtMs.put(service, scheduler.nowMs() + withinMs);
  }

  /**
   * Records that it is not known when a service will have a primary.
   *
   * @param service the name of the service
   */
  public void expectNoPrimary(String service) {
    expectedAtMs.remove(service);
  }

  /**
   * Records the duration of a promotion, which is the estimate for the next one.
   *
   * @param tookMs the duration, in milliseconds
   */
  public void recordPromotionDuration(long tookMs) {
    promotionMs = tookMs;
  }

  /**
   * Releases the waiting statements of a service, which has a primary again.
   *
   * @param service the name of the service
   */
  public void releaseWaiting(String service) {
    expectedAtMs.remove(service);
    List<Waiter> queue = waiting.remove(service);
    if (queue == null) {
      return;
    }
    waitingCount -= queue.size();
    queue.forEach(entry -> entry.timer().cancel());
    queue.forEach(entry -> entry.onPrimary().run());
  }

  private void expire(String service, Waiter entry) {
    List<Waiter> queue = waiting.get(service);
    if (queue != null && queue.remove(entry)) {
      waitingCount--;
      entry.onExpired().run();
    }
  }
}
