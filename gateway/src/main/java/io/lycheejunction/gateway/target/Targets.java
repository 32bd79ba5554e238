package io.lycheejunction.gateway.target;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.TargetLinkOpener;
import io.lycheejunction.gateway.pace.PaceMode;
import io.lycheejunction.gateway.pace.SlowStartCause;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.pool.ConnectionDivision;
import io.lycheejunction.gateway.pool.OpenReason;
import io.lycheejunction.gateway.pool.TargetPool;
import io.lycheejunction.gateway.route.ServiceLimits;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The directory of all registered targets.
 *
 * <p>A missing registration may only have lapsed while the store was unreachable, so its target is
 * kept for some time. If the registration stays missing, the target gets no new work and is finally
 * dropped.
 */
public final class Targets {
  /** How long a registration is missing before its target gets no new work, in milliseconds. */
  public static final long LEAVING_AFTER_MS = 2_500;

  /**
   * How long a registration is missing before its target is dropped, in milliseconds. Until then a
   * primary that still answers can be replaced without losing commits.
   */
  public static final long DROP_AFTER_MS = 5_000;

  /**
   * How long the last registration of a dropped target is remembered, and the terms of a service
   * without targets, in milliseconds.
   */
  private static final long REMEMBER_DROPPED_MS = 60_000;

  private static final EventLog LOG = EventLog.of(Targets.class);

  private final Scheduler scheduler;
  private final TargetLinkOpener linkOpener;
  private final PaceMode paceMode;
  private final Map<String, Long> missingSinceMs = new HashMap<>();
  private final ConnectionShares shares = new ConnectionShares();
  private Consumer<OpenReason> openingListener = reason -> {};
  private LongSupplier stalledMs = () -> 0;
  private SlowStartCause foundCause = SlowStartCause.REGISTERED_BEFORE;
  private final Map<String, TargetHandle> byId = new HashMap<>();
  private final Map<String, Target> lastOfDropped = new HashMap<>();
  private final Map<String, List<TargetHandle>> byService = new HashMap<>();
  private final Map<String, LeadershipHistory> leadershipByService = new HashMap<>();

  /**
   * Creates a directory without targets, whose statements in progress are not limited.
   *
   * @param scheduler the clock and the timers of the gateway's thread
   * @param linkOpener opens connections to targets
   */
  public Targets(Scheduler scheduler, TargetLinkOpener linkOpener) {
    this(scheduler, linkOpener, PaceMode.OFF);
  }

  /**
   * Creates a directory without targets.
   *
   * @param scheduler the clock and the timers of the gateway's thread
   * @param linkOpener opens connections to targets
   * @param paceMode whether the statements in progress at each target are limited
   */
  public Targets(Scheduler scheduler, TargetLinkOpener linkOpener, PaceMode paceMode) {
    this.scheduler = scheduler;
    this.linkOpener = linkOpener;
    this.paceMode = paceMode;
  }

  /**
   * Sets the callback that receives the reason of each connection that is opened.
   *
   * @param listener the callback
   */
  public void setOpeningListener(Consumer<OpenReason> listener) {
    openingListener = listener;
  }

  /**
   * Sets the source of the time in which the event loop was behind. Targets that are added later
   * are not considered silent in it.
   *
   * @param source supplies the sum since the start, in milliseconds
   */
  public void setStalledTime(LongSupplier source) {
    stalledMs = source;
  }

  /**
   * Updates the directory to the current registrations.
   *
   * @param registered all current registrations
   */
  public void update(Collection<Target> registered) {
    Set<String> present = new HashSet<>();
    for (Target target : registered) {
      present.add(target.id());
      addOrUpdate(target);
    }
    for (String id : byId.keySet()) {
      if (!present.contains(id) && !missingSinceMs.containsKey(id)) {
        LOG.info("target_missing", "target", id);
        missingSinceMs.put(id, scheduler.nowMs());
        scheduler.schedule(DROP_AFTER_MS, this::dropMissing);
      }
    }
    missingSinceMs.keySet().removeAll(present);
    foundCause = registered.isEmpty() ? foundCause : SlowStartCause.FOUND;
    rebuildIndex();
  }

  /**
   * Returns whether a target's registration is missing.
   *
   * @param id the identifier of the target
   * @return true if the target is known but no longer registered
   */
  public boolean isMissing(String id) {
    return missingSinceMs.containsKey(id);
  }

  /**
   * Returns whether a target gets no new work, because it is registered as leaving or because its
   * registration has been missing for too long.
   *
   * @param handle the target
   * @return true if the target is leaving
   */
  public boolean isLeaving(TargetHandle handle) {
    Long sinceMs = missingSinceMs.get(handle.target().id());
    return handle.target().leaving()
        || sinceMs != null && scheduler.nowMs() - sinceMs >= LEAVING_AFTER_MS;
  }

  /**
   * Returns the names of all services that have targets.
   *
   * @return the names
   */
  public Set<String> services() {
    return Set.copyOf(byService.keySet());
  }

  private void dropMissing() {
    long droppedBeforeMs = scheduler.nowMs() - DROP_AFTER_MS;
    for (Map.Entry<String, Long> missing : Map.copyOf(missingSinceMs).entrySet()) {
      if (missing.getValue() <= droppedBeforeMs) {
        missingSinceMs.remove(missing.getKey());
        retire(missing.getKey(), "gone");
      }
    }
    rebuildIndex();
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the service
   * @return its targets, including those that are leaving
   */
  public List<TargetHandle> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Returns a target.
   *
   * @param id its identifier
   * @return the target, or empty if it is not known
   */
  public Optional<TargetHandle> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns the known primary of a service.
   *
   * <p>A target whose term is lower than one that another has confirmed was replaced, and is not
   * the primary even if it still claims to be and the other one is gone or has stepped down. If
   * several others claim to be primary, one that is not gone takes precedence, then the one with
   * the highest confirmed term, then the one whose registration made the claim last. Registrations
   * come last because they may be out of date. If all of them are gone, none can confirm its term
   * any more, and a registration made after the last confirmation counts as newer: a successor may
   * have failed before it confirmed its term.
   *
   * @param service the service
   * @return the primary, or empty if no target claims to be primary
   */
  public Optional<TargetHandle> primaryOf(String service) {
    long nowMs = scheduler.nowMs();
    long newestTerm = newestTerm(service);
    return of(service).stream()
        .filter(TargetHandle::isPrimary)
        .filter(handle -> handle.presumedTerm() >= newestTerm)
        .max(
            Comparator.comparing((TargetHandle handle) -> !handle.isGone(nowMs))
                .thenComparingLong(handle -> termOf(handle, nowMs))
                .thenComparingLong(TargetHandle::claimedAtRevision));
  }

  /**
   * Returns the newest term in which a target of a service has confirmed that it leads, also if it
   * has stepped down since or is not registered any more.
   *
   * @param service the service
   * @return the term, or 0 if none is known
   */
  public long newestTerm(String service) {
    return leadershipOf(service).newestTerm();
  }

  /**
   * Returns whether another target has registered itself as primary after a target did, so that it
   * may have replaced it. It need not claim the role any more.
   *
   * @param primary the target
   * @return true if a later claim is known, unless the target has confirmed as new a term
   */
  public boolean hasNewerClaim(TargetHandle primary) {
    return leadershipOf(primary.target().service())
        .hasNewerClaim(primary.claimedAtRevision(), primary.provenTerm());
  }

  private static long termOf(TargetHandle handle, long nowMs) {
    return handle.isGone(nowMs) ? handle.presumedTerm() : handle.provenTerm();
  }

  /**
   * Returns all targets.
   *
   * @return the targets
   */
  public Collection<TargetHandle> all() {
    return byId.values();
  }

  /**
   * Returns the number of connections to all targets.
   *
   * @return the number, including connections that are being opened
   */
  public int connectionCount() {
    return byId.values().stream().mapToInt(handle -> handle.pool().connectionCount()).sum();
  }

  /**
   * Returns the number of organisations that have a connection to any target.
   *
   * @return the number, 0 where there are no organisations
   */
  public int connectedOrganisations() {
    return (int)
        byId.values().stream()
            .flatMap(handle -> handle.pool().organisations().stream())
            .distinct()
            .count();
  }

  /**
   * Returns whether no target is known.
   *
   * @return true if the directory is empty
   */
  public boolean isEmpty() {
    return byId.isEmpty();
  }

  private void addOrUpdate(Target target) {
    TargetHandle known = byId.get(target.id());
    Target last = known == null ? lastOfDropped.get(target.id()) : known.target();
    if (last != null && target.isSupersededBy(last)) {
      LOG.warn(
          "target_registration_outdated",
          "target",
          target.id(),
          "sequence",
          target.sequence(),
          "known",
          last.sequence());
      return;
    }
    if (known != null && known.target().isSameIncarnation(target)) {
      logChange(known.target(), target);
      known.update(target);
      return;
    }
    if (known != null) {
      retire(target.id(), "replaced");
    }
    byId.put(target.id(), newHandle(target));
    LOG.info(
        "target_found",
        "target",
        target.id(),
        "service",
        target.service(),
        "primary",
        target.claimsPrimary(),
        "leaving",
        target.leaving(),
        "revision",
        target.revision());
  }

  private TargetHandle newHandle(Target target) {
    TargetPool pool =
        new TargetPool(
            target,
            linkOpener,
            scheduler,
            shares.of(target, target.claimsPrimary()),
            reason -> onConnecting(target.id(), reason),
            fault -> onConnectFault(target.id(), fault),
            TargetPace.of(paceMode, target.id(), target.slots(), scheduler, foundCause));
    return new TargetHandle(
        target, pool, leadershipOf(target.service()), scheduler.nowMs(), stalledMs);
  }

  private LeadershipHistory leadershipOf(String service) {
    return leadershipByService.computeIfAbsent(service, name -> new LeadershipHistory());
  }

  /**
   * Divides the connections that targets accept equally between VMs.
   *
   * @param limits the limits, keyed by service
   * @param vms the number of VMs that connect to targets
   */
  public void divideConnections(Map<String, ServiceLimits> limits, int vms) {
    divideConnections(limits, new ConnectionDivision.Equal(vms));
  }

  /**
   * Divides the connections that targets accept between VMs. It is to be called again after the
   * primary of a service may have changed.
   *
   * @param limits the limits, keyed by service
   * @param changed how the connections are divided
   */
  public void divideConnections(Map<String, ServiceLimits> limits, ConnectionDivision changed) {
    shares.update(limits, changed);
    for (TargetHandle handle : byId.values()) {
      handle.pool().setShare(shares.of(handle.target(), handle.isPrimary()));
    }
  }

  /**
   * Returns how many replicas must have received a commit of a service before it is acknowledged.
   *
   * @param service the service
   * @return the number, or 0 if the limits of the service are not known
   */
  public int syncReplicasOf(String service) {
    return shares.syncReplicasOf(service);
  }

  /** Opening a connection counts as a request that the target answers without doing any work. */
  private void onConnecting(String id, OpenReason reason) {
    openingListener.accept(reason);
    find(id).ifPresent(handle -> handle.recordRequest(scheduler.nowMs()));
  }

  private void onConnectFault(String id, Fault fault) {
    find(id).ifPresent(handle -> handle.connectFailed(fault, scheduler.nowMs()));
  }

  private static void logChange(Target before, Target after) {
    if (before.leaving() != after.leaving() || before.claimsPrimary() != after.claimsPrimary()) {
      LOG.info(
          "target_changed",
          "target",
          after.id(),
          "service",
          after.service(),
          "primary",
          after.claimsPrimary(),
          "leaving",
          after.leaving(),
          "revision",
          after.revision());
    }
  }

  private void retire(String id, String reason) {
    TargetHandle handle = byId.remove(id);
    handle.pool().retire();
    Target last = handle.target();
    lastOfDropped.put(id, last);
    scheduler.schedule(REMEMBER_DROPPED_MS, () -> forget(id, last));
    LOG.info("target_lost", "target", id, "service", handle.target().service(), "reason", reason);
  }

  private void forget(String id, Target last) {
    lastOfDropped.remove(id, last);
    if (of(last.service()).isEmpty()) {
      leadershipByService.remove(last.service());
    }
  }

  private void rebuildIndex() {
    byService.clear();
    for (TargetHandle handle : byId.values()) {
      byService
          .computeIfAbsent(handle.target().service(), service -> new ArrayList<>())
          .add(handle);
    }
  }
}
