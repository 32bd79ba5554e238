package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.lease.LeaseContext;
import io.lycheejunction.gateway.lease.LeaseRenewal;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.ReleaseReply;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The release of one primary by the VMs that may use it, which precedes its replacement where a
 * replaced primary goes on working.
 */
final class PrimaryRelease {
  private static final EventLog LOG = EventLog.of(PrimaryRelease.class);

  /**
   * The maximum age of the VMs' release when a promotion is ordered, in milliseconds. It counts
   * from the request, as the replies may have been read late.
   */
  private static final long MAX_AGE_MS = 1_500;

  /**
   * How long VMs that still reach the primary have to refuse its release, in milliseconds. A
   * primary that was only slow may answer in that time.
   */
  private static final long OBJECTION_WAIT_MS = 100;

  private final FailoverContext failover;
  private final String service;
  private final String primary;
  private final Supplier<ReleaseReply> ownRelease;
  private Optional<ReleaseRound> round = Optional.empty();
  private Optional<Wait> wait = Optional.empty();
  private final Set<String> asked = new HashSet<>();
  private long requestedMs;
  private boolean released;
  private boolean needed;
  private boolean denied;

  /**
   * What follows when the primary is unused, and since when this process has the failover lease.
   */
  private record Wait(long failoverLeaseMs, Runnable next) {}

  /**
   * Creates a release that has not been requested yet.
   *
   * @param failover the state and services that failover shares
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if none is known
   * @param ownRelease releases the primary on this VM
   */
  PrimaryRelease(
      FailoverContext failover, String service, String primary, Supplier<ReleaseReply> ownRelease) {
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.service = Objects.requireNonNull(service, "service is null");
    this.primary = Objects.requireNonNull(primary, "primary is null");
    this.ownRelease = Objects.requireNonNull(ownRelease, "ownRelease is null");
    this.needed = failover.leases().use().needsLease();
  }

  /** Records that the primary has stepped down, so that it need not be released. */
  void onSteppedDown() {
    needed = false;
  }

  /** Returns whether too few VMs have released the primary. */
  boolean isDenied() {
    return denied;
  }

  /** Returns whether the release is too old to order a promotion, so that it is requested again. */
  boolean isOutdated() {
    return released && now() - requestedMs > MAX_AGE_MS;
  }

  /**
   * Asks all VMs to release the primary, if that is needed.
   *
   * @param onReleased runs once a quorum has released it, or if that is not needed
   * @param onDenied runs if too few VMs have released it, also after {@code onReleased}, if at
   *     least as many VMs have refused before the primary counts as unused
   */
  void request(Runnable onReleased, Runnable onDenied) {
    if (!needed) {
      onReleased.run();
      return;
    }
    cancel();
    requestedMs = now();
    ReleaseRound started =
        new ReleaseRound(failover, service, primary, new RoundListener(onReleased, onDenied));
    round = Optional.of(started);
    started.start(ownRelease.get());
  }

  /** Stops asking VMs and waiting, since the run has ended. */
  void cancel() {
    round.ifPresent(ReleaseRound::cancel);
    wait = Optional.empty();
  }

  /**
   * Waits until no VM uses the primary any more.
   *
   * <p>A VM that has not released it, or that this VM does not know as a holder, may rely on a read
   * of the store from before the failover lease was acquired, for the time that such a read counts.
   *
   * @param failoverLeaseMs the time at which this process first acquired the failover lease
   * @param next runs when the primary is unused
   */
  void awaitUnused(long failoverLeaseMs, Runnable next) {
    if (round.isEmpty()) {
      next.run();
      return;
    }
    wait = Optional.of(new Wait(failoverLeaseMs, next));
    continueIfUnused();
  }

  private void continueIfUnused() {
    if (wait.isEmpty() || round.isEmpty()) {
      return;
    }
    Wait waiting = wait.get();
    long waitMs = unusedFromMs(round.get(), waiting.failoverLeaseMs()) - now();
    if (waitMs > 0) {
      failover.gate().expectPromotion(service, waitMs);
      failover.scheduler().schedule(waitMs, this::continueIfUnused);
      return;
    }
    if (round.get().isRefused()) {
      round.get().deny();
      return;
    }
    cancel();
    waiting.next().run();
  }

  private long unusedFromMs(ReleaseRound released, long failoverLeaseMs) {
    long unusedFromMs =
        Math.max(released.unusedFromMs(), released.allAskedMs() + OBJECTION_WAIT_MS);
    if (released.isReleasedByAll() && knowsAllHolders(released, failoverLeaseMs)) {
      return unusedFromMs;
    }
    long readsExpiredMs =
        failoverLeaseMs + PrimaryLeases.STORE_READ_VALID_MS + ReleaseRound.CLOCK_MARGIN_MS;
    return Math.max(unusedFromMs, readsExpiredMs);
  }

  /**
   * Returns whether the holders were read so recently that they include each VM that may have
   * relied on the store before the failover lease was acquired. A VM does so only once it has been
   * a holder for some time.
   */
  private static boolean knowsAllHolders(ReleaseRound released, long failoverLeaseMs) {
    long ageMs = failoverLeaseMs - released.holdersAsOfMs();
    return ageMs + ReleaseRound.CLOCK_MARGIN_MS < LeaseRenewal.KNOWN_TO_ALL_AFTER_MS;
  }

  /**
   * Tells the other VMs that the primary is not replaced, so that they use it again at once.
   *
   * @param leaseAcquired true if the failover lease names the primary as being replaced
   */
  void withdraw(boolean leaseAcquired) {
    LeaseContext leases = failover.leases();
    if (!leases.use().needsLease()) {
      return;
    }
    leases.grants().resume(service, failover.vm());
    asked.forEach(vm -> leases.client().resume(vm, service));
    asked.clear();
    if (leaseAcquired) {
      failover
          .store()
          .acquireLease(
              service,
              failover.holder(),
              "",
              result -> LOG.info("failover_withdrawn", "service", service, "result", result));
    }
  }

  private final class RoundListener implements ReleaseRound.Listener {
    private final Runnable onReleased;
    private final Runnable onDenied;

    private RoundListener(Runnable onReleased, Runnable onDenied) {
      this.onReleased = onReleased;
      this.onDenied = onDenied;
    }

    @Override
    public void onAsked(String vm) {
      asked.add(vm);
    }

    @Override
    public void onQuorum() {
      released = true;
      onReleased.run();
    }

    @Override
    public void onDenied() {
      denied = true;
      failover.leases().voters().refresh();
      onDenied.run();
    }

    @Override
    public void onLaterReply() {
      continueIfUnused();
    }
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
