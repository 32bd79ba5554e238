package io.lycheejunction.gateway.target;

import java.util.Objects;

/**
 * A target as it has registered itself.
 *
 * @param id the identifier that its connections must show
 * @param bornMs the start of this incarnation, in milliseconds since the epoch; an identifier with
 *     another start is another target
 * @param service the service that it belongs to
 * @param endpoint where it listens
 * @param failureDomain the failure domain that it is in
 * @param slots the statements that it runs at once
 * @param leaving true if it gets no new work
 * @param claimsPrimary true if it sees itself as the primary
 * @param revision the store's version of the registration; a higher one is newer
 */
public record Target(
    String id,
    long bornMs,
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
   * Returns whether another registration is of the same running process.
   *
   * @param other the other registration
   * @return true if connections to one are connections to the other
   */
  public boolean isSameIncarnation(Target other) {
    return id.equals(other.id) && bornMs == other.bornMs && endpoint.equals(other.endpoint);
  }
}
