package io.lycheejunction.gateway.target;

import java.util.Objects;

/**
 * The registration of a target.
 *
 * @param id the identifier that the target must report on each connection
 * @param bornMs the start time of the target's process, in milliseconds since the epoch; the same
 *     identifier with another start time is a different incarnation
 * @param sequence the number of the registration, which rises with each one that the process writes
 * @param service the service that the target belongs to
 * @param endpoint the address that the target listens on
 * @param failureDomain the failure domain of the target
 * @param slots the number of statements that the target runs in parallel
 * @param leaving true if the target is draining and gets no new work
 * @param claimsPrimary true if the target has registered itself as primary
 * @param revision the store's version of the registration; a higher one is newer
 */
public record Target(
    String id,
    long bornMs,
    long sequence,
    String service,
    Endpoint endpoint,
    String failureDomain,
    int slots,
    boolean leaving,
    boolean claimsPrimary,
    long revision) {
  /** Rejects null components. */
  public Target {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(endpoint, "endpoint is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
  }

  /**
   * Returns whether another registration belongs to the same running process.
   *
   * @param other the other registration
   * @return true if the identifier, the start time and the endpoint are the same
   */
  public boolean isSameIncarnation(Target other) {
    return id.equals(other.id) && bornMs == other.bornMs && endpoint.equals(other.endpoint);
  }

  /**
   * Returns whether the same process has written another registration after this one. The store
   * returns an earlier registration after it was restored from a copy.
   *
   * @param other the other registration
   * @return true if this registration is out of date
   */
  public boolean isSupersededBy(Target other) {
    return isSameIncarnation(other) && sequence < other.sequence;
  }
}
