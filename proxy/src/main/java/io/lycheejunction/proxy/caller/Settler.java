package io.lycheejunction.proxy.caller;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.holder.HolderClient;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;

/**
 * Settles in the background the idempotency keys of writes with an unknown outcome.
 *
 * <p>A key is settled once the ledger has recorded its write or has cancelled the key.
 */
public final class Settler {
  private static final EventLog LOG = EventLog.of(Settler.class);
  private static final long QUERY_TIMEOUT_MS = 1_000;
  private static final int MAX_KEYS_PER_RUN = 32;

  private record Pending(String group, String key, long queuedAtMs) {}

  private final HolderClient holderClient;
  private final GroupMonitor monitor;
  private final RuntimeClock clock;
  private final CallerLimits limits;
  private final Deque<Pending> queue = new ArrayDeque<>();

  /**
   * Creates a settler with an empty queue.
   *
   * @param holderClient queries the ledgers of the targets
   * @param monitor the known primaries and terms of the groups
   * @param clock the runtime clock
   * @param limits the size of the queue and the retention of keys
   */
  public Settler(
      HolderClient holderClient, GroupMonitor monitor, RuntimeClock clock, CallerLimits limits) {
    this.holderClient = Objects.requireNonNull(holderClient, "holderClient is null");
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
  }

  /**
   * Adds a key to the queue; drops the oldest one if the queue is full.
   *
   * @param group the name of the group
   * @param key the idempotency key
   */
  synchronized void offer(String group, String key) {
    if (queue.size() >= limits.maxUnsettled()) {
      Pending dropped = queue.removeFirst();
      LOG.warn("settling_dropped", "group", dropped.group(), "key", dropped.key());
    }
    queue.addLast(new Pending(group, key, clock.monotonicMs()));
  }

  /**
   * Returns the number of queued keys.
   *
   * @return the number
   */
  public synchronized int size() {
    return queue.size();
  }

  /** Queries a batch of the queued keys once; keys that stay unknown are queued again. */
  public void settle() {
    int keyCount = Math.min(MAX_KEYS_PER_RUN, size());
    for (int i = 0; i < keyCount; i++) {
      Pending next = poll();
      if (next == null) {
        return;
      }
      if (!trySettle(next)) {
        requeue(next);
      }
    }
  }

  private synchronized Pending poll() {
    return queue.pollFirst();
  }

  private synchronized void requeue(Pending pending) {
    if (clock.monotonicMs() - pending.queuedAtMs() >= limits.retention().maxAgeMs()) {
      LOG.warn("settling_expired", "group", pending.group(), "key", pending.key());
      return;
    }
    if (queue.size() < limits.maxUnsettled()) {
      queue.addLast(pending);
    }
  }

  private boolean trySettle(Pending pending) {
    GroupView view = monitor.view(pending.group());
    Optional<String> primary = view.primary();
    if (primary.isEmpty()) {
      return false;
    }
    Result<KeyAnswer> result =
        holderClient.lookUpKey(
            new KeyQuery(
                pending.group(),
                primary.get(),
                view.term(),
                pending.key(),
                true,
                QUERY_TIMEOUT_MS));
    KeyAnswer.State state = result.map(KeyAnswer::state).getOrElse(KeyAnswer.State.ABSENT);
    if (state == KeyAnswer.State.ABSENT) {
      return false;
    }
    LOG.info("key_settled", "group", pending.group(), "key", pending.key(), "state", state);
    return true;
  }
}
