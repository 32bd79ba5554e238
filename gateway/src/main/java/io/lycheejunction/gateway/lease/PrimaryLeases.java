package io.lycheejunction.gateway.lease;

import io.lycheejunction.common.log.EventLog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The leases under which this VM uses primaries.
 *
 * <p>Each holder grants a lease for a limited time. This VM holds a lease as long as so many
 * holders grant it that the others cannot decide to replace the primary without them. A primary is
 * replaced only once the grants of those that have decided so have expired, so at that time no VM
 * holds a lease on it.
 *
 * <p>A VM that reaches too few holders for that, but the store, confirms there instead that nobody
 * has started to replace the primary.
 *
 * <p>Times are on the monotonic clock. A grant counts from the time of its request, which is
 * earlier than the time from which the granting VM counts it.
 */
public final class PrimaryLeases {
  /** How long a granted lease is valid, in milliseconds. */
  public static final long DURATION_MS = 1_000;

  /**
   * How long a read of the store counts that names no replacement of a primary, in milliseconds. A
   * promotion that not all VMs have agreed to waits for that long.
   */
  public static final long STORE_READ_VALID_MS = 600;

  private static final EventLog LOG = EventLog.of(PrimaryLeases.class);
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** The grants on one primary. */
  private static final class ServiceLease {
    private final String primary;
    private final Map<String, Long> grantedUntilMs = new HashMap<>();
    private long grantedByVmsUntilMs = NEVER;
    private long confirmedByStoreUntilMs = NEVER;
    private boolean reportedHeld;

    private ServiceLease(String primary) {
      this.primary = primary;
    }
  }

  private final Supplier<VoterSet> voters;
  private final Map<String, ServiceLease> byService = new HashMap<>();
  private long validFromMs = NEVER;

  /**
   * Creates the leases, none of which is held.
   *
   * @param voters returns the VMs that grant leases
   */
  public PrimaryLeases(Supplier<VoterSet> voters) {
    this.voters = Objects.requireNonNull(voters, "voters is null");
  }

  /**
   * Records that a VM has granted the lease on a primary.
   *
   * @param vm the name of the VM
   * @param service the service
   * @param primary the identifier of the primary
   * @param requestedMs the time at which this VM sent its request, in milliseconds
   */
  public void recordGrant(String vm, String service, String primary, long requestedMs) {
    if (requestedMs < validFromMs) {
      return;
    }
    ServiceLease lease = leaseOn(service, primary);
    lease.grantedUntilMs.merge(vm, requestedMs + DURATION_MS, Math::max);
    lease.grantedByVmsUntilMs = heldUntilMs(lease.grantedUntilMs);
  }

  /**
   * Records that no replacement of a primary had been started according to the store. Whoever
   * starts one waits for the time that such a read counts after the store has accepted it, unless
   * all holders have released the primary.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @param requestedMs the time at which this VM sent its request to the store, in milliseconds
   */
  public void recordNotReplaced(String service, String primary, long requestedMs) {
    if (requestedMs < validFromMs) {
      return;
    }
    ServiceLease lease = leaseOn(service, primary);
    lease.confirmedByStoreUntilMs =
        Math.max(lease.confirmedByStoreUntilMs, requestedMs + STORE_READ_VALID_MS);
  }

  private ServiceLease leaseOn(String service, String primary) {
    ServiceLease known = byService.get(service);
    if (known != null && known.primary.equals(primary)) {
      return known;
    }
    ServiceLease lease = new ServiceLease(primary);
    byService.put(service, lease);
    return lease;
  }

  /**
   * Returns whether this VM holds the lease on a primary.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @param nowMs the present time, in milliseconds
   * @return true if it may use the primary now
   */
  public boolean isHeld(String service, String primary, long nowMs) {
    ServiceLease lease = byService.get(service);
    if (lease == null || !lease.primary.equals(primary)) {
      return false;
    }
    boolean held = nowMs < Math.max(lease.grantedByVmsUntilMs, lease.confirmedByStoreUntilMs);
    if (held != lease.reportedHeld) {
      lease.reportedHeld = held;
      LOG.info(
          "primary_lease",
          "service",
          service,
          "primary",
          primary,
          "held",
          held,
          "granted_ms",
          Math.max(0, lease.grantedByVmsUntilMs - nowMs),
          "confirmed_ms",
          Math.max(0, lease.confirmedByStoreUntilMs - nowMs));
    }
    return held;
  }

  /**
   * Returns whether enough VMs grant the lease on a primary, so that the store is not needed.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @param nowMs the present time, in milliseconds
   * @return true if they do
   */
  boolean isGrantedByVms(String service, String primary, long nowMs) {
    ServiceLease lease = byService.get(service);
    return lease != null && lease.primary.equals(primary) && nowMs < lease.grantedByVmsUntilMs;
  }

  /**
   * Gives up the lease on the primary of a service.
   *
   * @param service the service
   */
  public void drop(String service) {
    byService.remove(service);
  }

  /**
   * Gives up all leases and ignores answers to earlier requests, since the clock may have missed
   * time.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void invalidateBefore(long nowMs) {
    validFromMs = nowMs;
    byService.clear();
  }

  /** Returns until when enough VMs have granted the lease to prevent a decision without them. */
  private long heldUntilMs(Map<String, Long> grantedUntilMs) {
    VoterSet known = voters.get();
    List<Map.Entry<String, Long>> latestFirst = new ArrayList<>(grantedUntilMs.entrySet());
    latestFirst.sort(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()));
    Set<String> granting = new HashSet<>();
    for (Map.Entry<String, Long> grant : latestFirst) {
      granting.add(grant.getKey());
      if (known.canPrevent(granting)) {
        return grant.getValue();
      }
    }
    return NEVER;
  }
}
