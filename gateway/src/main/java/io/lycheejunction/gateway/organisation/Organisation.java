package io.lycheejunction.gateway.organisation;

import java.util.Objects;
import java.util.Optional;

/**
 * A customer whose callers share a quota and connections to targets.
 *
 * @param name the name, which targets are told
 * @param priority the scheduling priority; 0 is the most urgent
 * @param quota the rate limit, or empty for none
 */
public record Organisation(String name, int priority, Optional<Quota> quota) {
  /** Rejects null components and an empty name. */
  public Organisation {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(quota, "quota is null");
    if (name.isEmpty()) {
      throw new IllegalArgumentException("name is empty");
    }
  }
}
