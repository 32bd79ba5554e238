package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.lease.KnownPrimary;
import io.lycheejunction.gateway.lease.LeaseRenewal;
import io.lycheejunction.gateway.lease.LeaseReply;
import io.lycheejunction.gateway.lease.ReleaseHandler;
import io.lycheejunction.gateway.lease.ReleaseReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/** Detects failed or leaving primaries of all services and starts their replacement. */
public final class PrimaryWatch implements LeaseRenewal.Primaries, ReleaseHandler {
  private static final long CHECK_INTERVAL_MS = 200;
  private static final long URGENT_CHECK_INTERVAL_MS = 40;
  private static final long ISOLATION_DELAY_MS = 400;
  private static final long NOT_ISOLATED = Long.MAX_VALUE;
  private static final EventLog LOG = EventLog.of(PrimaryWatch.class);

  private final FailoverContext failover;
  private final Map<String, ServiceWatch> watches = new HashMap<>();
  private Runnable primaryFoundListener = () -> {};
  private boolean checkSoon;
  private long isolatedSinceMs = NOT_ISOLATED;

  /**
   * Creates a watch that does not run yet.
   *
   * @param failover the state and services that failover shares
   */
  public PrimaryWatch(FailoverContext failover) {
    this.failover = failover;
  }

  /**
   * Sets what runs each time this VM has found a primary that it did not know before.
   *
   * @param listener runs before statements that wait for the primary
   */
  public void setPrimaryFoundListener(Runnable listener) {
    primaryFoundListener = Objects.requireNonNull(listener, "listener is null");
  }

  /** Checks all primaries now and then at regular intervals. */
  public void start() {
    checkRepeatedly();
  }

  /** Checks all primaries now, outside the regular interval. */
  public void checkPrimaries() {
    checkSoon = false;
    if (failover.role().isForwarding()) {
      watches.clear();
      updateIsolation();
      return;
    }
    for (String service : failover.targets().services()) {
      ServiceWatch watch =
          watches.computeIfAbsent(
              service, name -> new ServiceWatch(failover, name, this::onPrimaryFound));
      checkSoon |= watch.check();
    }
    watches.keySet().retainAll(failover.targets().services());
    updateIsolation();
  }

  /**
   * Treats what this VM has acquired as expired, since its clock may have missed time.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void onClockGap(long nowMs) {
    watches.values().forEach(watch -> watch.onClockGap(nowMs));
  }

  /**
   * Returns whether this VM is isolated: for some time it has reached neither the store nor more
   * than half of the primaries.
   *
   * @return true if callers should use other VMs
   */
  public boolean isIsolated() {
    return isolatedSinceMs != NOT_ISOLATED
        && failover.scheduler().nowMs() - isolatedSinceMs >= ISOLATION_DELAY_MS;
  }

  /**
   * Returns this VM's vote on a primary, for another VM that requests it.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @return the vote, which may be about another primary, or empty if there is none yet
   */
  public Optional<Vote> currentVote(String service, String primary) {
    return Optional.ofNullable(watches.get(service)).flatMap(watch -> watch.currentVote(primary));
  }

  @Override
  public List<KnownPrimary> known() {
    List<KnownPrimary> known = new ArrayList<>();
    watches.values().forEach(watch -> watch.knownPrimary().ifPresent(known::add));
    return known;
  }

  @Override
  public OptionalLong claimedAtRevision(String service) {
    return failover
        .targets()
        .primaryOf(service)
        .map(primary -> OptionalLong.of(primary.claimedAtRevision()))
        .orElse(OptionalLong.empty());
  }

  @Override
  public void onReported(KnownPrimary reported) {
    Optional.ofNullable(watches.get(reported.service()))
        .ifPresent(watch -> watch.onReported(reported));
  }

  @Override
  public void onRenewed() {
    checkPrimaries();
  }

  /**
   * Grants another VM the leases on all primaries that this VM knows and has no reason to replace.
   *
   * @param vm the name of the other VM
   * @return the primaries that this VM knows
   */
  public LeaseReply grantLeases(String vm) {
    if (failover.leases().voters().seatAgeMs().isEmpty()) {
      return new LeaseReply(List.of());
    }
    long nowMs = failover.scheduler().nowMs();
    List<KnownPrimary> known = known();
    for (KnownPrimary primary : known) {
      if (primary.granted()) {
        failover.leases().grants().grant(vm, primary.service(), nowMs);
      }
    }
    return new LeaseReply(known);
  }

  @Override
  public ReleaseReply release(String service, String primary, String requester) {
    ServiceWatch watch = watches.get(service);
    return watch == null ? ReleaseReply.refused(failover.vm()) : watch.release(primary, requester);
  }

  @Override
  public void resume(String service, String requester) {
    failover.leases().grants().resume(service, requester);
    Optional.ofNullable(watches.get(service)).ifPresent(watch -> watch.onWithdrawn(requester));
  }

  private void onPrimaryFound() {
    primaryFoundListener.run();
  }

  private long unreachablePrimaries() {
    return watches.values().stream().filter(watch -> !watch.reachesPrimary()).count();
  }

  private void updateIsolation() {
    boolean isolated =
        !watches.isEmpty()
            && !failover.store().isReachable()
            && unreachablePrimaries() * 2 >= watches.size();
    if (isolated == (isolatedSinceMs != NOT_ISOLATED)) {
      return;
    }
    isolatedSinceMs = isolated ? failover.scheduler().nowMs() : NOT_ISOLATED;
    LOG.info("isolation", "isolated", isolated);
  }

  private void checkRepeatedly() {
    try {
      checkPrimaries();
    } finally {
      long intervalMs = checkSoon ? URGENT_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS;
      failover.scheduler().schedule(intervalMs, this::checkRepeatedly);
    }
  }
}
