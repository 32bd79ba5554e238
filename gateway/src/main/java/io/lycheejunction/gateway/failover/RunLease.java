package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The failover lease of one {@link FailoverRun}, which may acquire it several times.
 *
 * <p>The age of the lease counts from its request: its answer may have been read late, when the
 * lease had expired for the other processes and another one had acquired it.
 */
final class RunLease {
  /**
   * How old the lease may be when an order is sent, in milliseconds. Others may acquire it once it
   * is {@link Lease#DURATION_MS} old.
   */
  static final long MAX_AGE_MS = 1_000;

  private static final EventLog LOG = EventLog.of(RunLease.class);
  private static final long NEVER = Long.MIN_VALUE;

  private record Acquired(long token, long requestedMs) {}

  private final FailoverContext failover;
  private final String service;
  private final String previousId;
  private final String reason;
  private Optional<Acquired> latest = Optional.empty();
  private long firstAcquiredMs = NEVER;
  private long clockValidFromMs = NEVER;

  /**
   * Creates a lease that has not been acquired.
   *
   * @param failover the state and services that failover shares
   * @param service the service
   * @param previousId the identifier of the primary that is to be replaced, or an empty text
   * @param reason why it is to be replaced, for log lines
   */
  RunLease(FailoverContext failover, String service, String previousId, String reason) {
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.service = Objects.requireNonNull(service, "service is null");
    this.previousId = Objects.requireNonNull(previousId, "previousId is null");
    this.reason = Objects.requireNonNull(reason, "reason is null");
  }

  /**
   * Acquires the lease, which another process may have acquired meanwhile.
   *
   * @param onAcquired runs once this process holds it
   * @param onFailed receives the reason otherwise
   */
  void acquire(Runnable onAcquired, Consumer<String> onFailed) {
    boolean heldByOther =
        failover
            .store()
            .lease(service)
            .filter(lease -> lease.isHeld(now()) && !lease.holder().equals(failover.holder()))
            .isPresent();
    if (heldByOther) {
      onFailed.accept("another process holds the lease");
      return;
    }
    long requestedMs = now();
    failover
        .store()
        .acquireLease(
            service,
            failover.holder(),
            previousId,
            result -> {
              switch (result) {
                case FailoverStore.LeaseResult.Acquired acquired -> {
                  record(new Acquired(acquired.token(), requestedMs));
                  onAcquired.run();
                }
                case FailoverStore.LeaseResult.NotAcquired notAcquired ->
                    onFailed.accept(notAcquired.reason());
              }
            });
  }

  private void record(Acquired acquired) {
    latest = Optional.of(acquired);
    if (firstAcquiredMs == NEVER) {
      firstAcquiredMs = now();
    }
    LOG.info(
        "failover_lease_taken",
        "service",
        service,
        "token",
        acquired.token(),
        "reason",
        reason,
        "took_ms",
        now() - acquired.requestedMs());
  }

  /** Returns whether this process has acquired the lease at any time. */
  boolean wasAcquired() {
    return firstAcquiredMs != NEVER;
  }

  /** Returns when this process has first read that it holds the lease, in milliseconds. */
  long firstAcquiredMs() {
    return firstAcquiredMs;
  }

  /** Returns the fencing token of the lease; throws if it was never acquired. */
  long token() {
    return latest.orElseThrow().token();
  }

  /** Returns whether the lease is young enough for an order. */
  boolean isFresh() {
    return latest
        .filter(acquired -> acquired.requestedMs() >= clockValidFromMs)
        .filter(acquired -> now() - acquired.requestedMs() <= MAX_AGE_MS)
        .isPresent();
  }

  /** Returns whether the lease was acquired again since, or lost in a restore of the store. */
  boolean isLost() {
    boolean acquiredAgain =
        failover.store().lease(service).filter(seen -> seen.revision() > token()).isPresent();
    return acquiredAgain || !failover.store().isCurrent(token());
  }

  /** Treats the lease as expired if it was requested before now: the clock may have missed time. */
  void onClockGap(long nowMs) {
    clockValidFromMs = nowMs;
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
