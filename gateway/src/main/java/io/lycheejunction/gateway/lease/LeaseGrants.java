package io.lycheejunction.gateway.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** The leases that this VM has granted to others, and the primaries that it has released. */
public final class LeaseGrants {
  /** How long a released primary is not used and no lease on it is granted, in milliseconds. */
  public static final long RELEASE_VALID_MS = 3_000;

  private record Release(String primary, Set<String> successors, long untilMs) {
    private boolean covers(String other, long nowMs) {
      return nowMs < untilMs && (primary.equals(other) || !successors.contains(other));
    }
  }

  private final Map<String, Map<String, Long>> grantedUntilMs = new HashMap<>();
  private final Map<String, Map<String, Release>> releases = new HashMap<>();

  /** Creates the state without any grant or release. */
  public LeaseGrants() {}

  /**
   * Records that this VM grants the lease on a service's primary.
   *
   * @param vm the VM that it is granted to
   * @param service the service
   * @param nowMs the present time, in milliseconds
   */
  public void grant(String vm, String service, long nowMs) {
    Objects.requireNonNull(vm, "vm is null");
    grantedUntilMs
        .computeIfAbsent(service, name -> new HashMap<>())
        .put(vm, nowMs + PrimaryLeases.DURATION_MS);
  }

  /**
   * Releases a primary: no lease on it is granted for {@link #RELEASE_VALID_MS}.
   *
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if none is known
   * @param requester the name of the VM that is about to replace the primary
   * @param successors the identifiers of the targets that may be promoted. A target that is not
   *     among them may be the same primary, which has started again under another identifier and
   *     still claims its role.
   * @param nowMs the present time, in milliseconds
   */
  public void release(
      String service, String primary, String requester, Set<String> successors, long nowMs) {
    releases
        .computeIfAbsent(service, name -> new HashMap<>())
        .put(requester, new Release(primary, Set.copyOf(successors), nowMs + RELEASE_VALID_MS));
  }

  /**
   * Ends a release, since the primary is not replaced. Releases for other VMs remain.
   *
   * @param service the service
   * @param requester the name of the VM that the primary was released for
   */
  public void resume(String service, String requester) {
    Map<String, Release> ofService = releases.get(service);
    if (ofService != null) {
      ofService.remove(requester);
    }
  }

  /**
   * Returns whether a primary has been released recently, or may be one that has been.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @param nowMs the present time, in milliseconds
   * @return true if no lease on it may be granted
   */
  public boolean isReleased(String service, String primary, long nowMs) {
    return releases.getOrDefault(service, Map.of()).values().stream()
        .anyMatch(release -> release.covers(primary, nowMs));
  }

  /**
   * Returns the leases on a service's primary that have not expired.
   *
   * @param service the service
   * @param nowMs the present time, in milliseconds
   * @return how long each is still valid, in milliseconds, keyed by the VM that it was granted to
   */
  public Map<String, Long> remainingMs(String service, long nowMs) {
    Map<String, Long> granted = grantedUntilMs.getOrDefault(service, Map.of());
    Map<String, Long> remaining = new HashMap<>();
    granted.forEach(
        (vm, untilMs) -> {
          if (untilMs > nowMs) {
            remaining.put(vm, untilMs - nowMs);
          }
        });
    return remaining;
  }
}
