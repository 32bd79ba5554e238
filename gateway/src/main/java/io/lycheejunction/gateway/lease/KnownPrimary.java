package io.lycheejunction.gateway.lease;

import java.util.Objects;

/**
 * A service's primary as one VM knows it.
 *
 * @param service the service
 * @param primary the identifier of the primary
 * @param term the term in which it has confirmed to this VM that it is primary, or 0
 * @param granted true if the VM grants the lease on it: it reaches the primary, or has at least no
 *     reason to replace it
 */
public record KnownPrimary(String service, String primary, long term, boolean granted) {
  /** Rejects null components. */
  public KnownPrimary {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(primary, "primary is null");
  }
}
