package io.lycheejunction.gateway.target;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.TargetLinks;
import io.lycheejunction.gateway.pool.ConnectionShare;
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

/**
 * All registered targets.
 *
 * <p>A registration that has disappeared may only have lapsed while the store was away, so its
 * target is kept for a while. One that is still missing then is gone and gets no new work.
 */
public final class Targets {
  /** How long a missing registration may come back, in milliseconds. */
  public static final long LAPSED_MS = 2_500;

  /**
   * When a target whose registration is missing is dropped, in milliseconds. A primary that still
   * answers can be replaced without a loss until then.
   */
  public static final long DROPPED_MS = 5_000;

  private static final EventLog LOG = EventLog.of(Targets.class);

  private final Scheduler scheduler;
  private final TargetLinks links;
  private final Map<String, Long> missingSinceMs = new HashMap<>();
  private Map<String, ServiceLimits> serviceLimits = Map.of();
  private int vmCount = 1;
  private final Map<String, TargetHandle> byId = new HashMap<>();
  private final Map<String, List<TargetHandle>> byService = new HashMap<>();

  /**
   * Creates a directory without targets.
   *
   * @param scheduler the gateway's clock
   * @param links opens connections to targets
   */
  public Targets(Scheduler scheduler, TargetLinks links) {
    this.scheduler = scheduler;
    this.links = links;
  }

  /**
   * Takes over the registrations that are in force now.
   *
   * @param registered all of them
   */
  public void update(Collection<Target> registered) {
    Set<String> present = new HashSet<>();
    for (Target target : registered) {
      present.add(target.id());
      put(target);
    }
    for (String id : byId.keySet()) {
      if (!present.contains(id) && !missingSinceMs.containsKey(id)) {
        LOG.info("target_missing", "target", id);
        missingSinceMs.put(id, scheduler.nowMs());
        scheduler.schedule(DROPPED_MS, this::dropMissing);
      }
    }
    missingSinceMs.keySet().removeAll(present);
    index();
  }

  /**
   * Returns whether a target's registration has disappeared.
   *
   * @param id the identifier of the target
   * @return true if so
   */
  public boolean isMissing(String id) {
    return missingSinceMs.containsKey(id);
  }

  /**
   * Returns whether a target gets no new work, by its own word or since its registration did not
   * come back.
   *
   * @param handle the target
   * @return true if so
   */
  public boolean isLeaving(TargetHandle handle) {
    Long sinceMs = missingSinceMs.get(handle.target().id());
    return handle.target().leaving() || sinceMs != null && scheduler.nowMs() - sinceMs >= LAPSED_MS;
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
    long beforeMs = scheduler.nowMs() - DROPPED_MS;
    for (Map.Entry<String, Long> missing : Map.copyOf(missingSinceMs).entrySet()) {
      if (missing.getValue() <= beforeMs) {
        missingSinceMs.remove(missing.getKey());
        retire(missing.getKey(), "gone");
      }
    }
    index();
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the service
   * @return its targets, those that leave too
   */
  public List<TargetHandle> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Returns a target.
   *
   * @param id its identifier
   * @return the target, or empty if it is not registered
   */
  public Optional<TargetHandle> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns the target that leads a service, as far as is known.
   *
   * <p>A target that answers goes before one that is gone; then counts the term that a target has
   * shown to lead, and last which registration claimed the lead later, since a registration may be
   * out of date.
   *
   * @param service the service
   * @return the primary, or empty if no target claims to lead
   */
  public Optional<TargetHandle> primaryOf(String service) {
    long nowMs = scheduler.nowMs();
    return of(service).stream()
        .filter(TargetHandle::isPrimary)
        .max(
            Comparator.comparing((TargetHandle handle) -> !handle.isGone(nowMs))
                .thenComparingLong(TargetHandle::provenTerm)
                .thenComparingLong(TargetHandle::claimedAtRevision));
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
   * Returns whether no target is known.
   *
   * @return true if so
   */
  public boolean isEmpty() {
    return byId.isEmpty();
  }

  private void put(Target target) {
    TargetHandle known = byId.get(target.id());
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
            links,
            scheduler,
            shareOf(target.service()),
            () -> onOpening(target.id()),
            fault -> onConnectFault(target.id(), fault));
    return new TargetHandle(target, pool, scheduler.nowMs());
  }

  /**
   * Shares the connections of targets between VMs.
   *
   * @param limits the limits of services
   * @param vms the number of VMs
   */
  public void share(Map<String, ServiceLimits> limits, int vms) {
    if (limits.equals(serviceLimits) && vms == vmCount) {
      return;
    }
    serviceLimits = Map.copyOf(limits);
    vmCount = vms;
    LOG.info("connections_shared", "vms", vms);
    byId.values().forEach(handle -> handle.pool().limit(shareOf(handle.target().service())));
  }

  /**
   * Returns how many replicas have received a commit of a service before it is acknowledged.
   *
   * @param service the service
   * @return the number; 0 if it is not known
   */
  public int syncReplicasOf(String service) {
    ServiceLimits limits = serviceLimits.get(service);
    return limits == null ? 0 : limits.syncReplicas();
  }

  private ConnectionShare shareOf(String service) {
    ServiceLimits limits = serviceLimits.get(service);
    return ConnectionShare.of(limits == null ? 0 : limits.maxConnections(), vmCount);
  }

  /** A target answers a new connection without any work of the caller's. */
  private void onOpening(String id) {
    find(id).ifPresent(handle -> handle.asked(scheduler.nowMs()));
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
    LOG.info("target_lost", "target", id, "service", handle.target().service(), "reason", reason);
  }

  private void index() {
    byService.clear();
    for (TargetHandle handle : byId.values()) {
      byService
          .computeIfAbsent(handle.target().service(), service -> new ArrayList<>())
          .add(handle);
    }
  }
}
