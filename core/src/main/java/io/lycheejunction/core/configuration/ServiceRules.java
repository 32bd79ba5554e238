package io.lycheejunction.core.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * The rules of a service that a change names.
 *
 * @param durability when a write is acknowledged
 * @param maxAgeMs the largest age that a read may accept, in milliseconds
 * @param cutOffReads what a read gets when its age cannot be proven
 * @param weight the service's share of a target's queue
 */
public record ServiceRules(
    Optional<Durability> durability,
    Optional<Long> maxAgeMs,
    Optional<CutOffReads> cutOffReads,
    Optional<Integer> weight) {
  private static final ServiceRules EMPTY =
      new ServiceRules(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

  /** Rejects null components. */
  public ServiceRules {
    Objects.requireNonNull(durability, "durability is null");
    Objects.requireNonNull(maxAgeMs, "maxAgeMs is null");
    Objects.requireNonNull(cutOffReads, "cutOffReads is null");
    Objects.requireNonNull(weight, "weight is null");
  }

  /**
   * Returns rules that name nothing.
   *
   * @return the empty rules
   */
  public static ServiceRules empty() {
    return EMPTY;
  }

  /**
   * Returns these rules with those that the other names.
   *
   * @param other the rules that go first
   * @return the merged rules
   */
  public ServiceRules merge(ServiceRules other) {
    return new ServiceRules(
        other.durability.or(() -> durability),
        other.maxAgeMs.or(() -> maxAgeMs),
        other.cutOffReads.or(() -> cutOffReads),
        other.weight.or(() -> weight));
  }

  /**
   * Returns whether both name the same rule.
   *
   * @param other the other rules
   * @return true if at least one rule is named by both
   */
  public boolean overlaps(ServiceRules other) {
    return (durability.isPresent() && other.durability.isPresent())
        || (maxAgeMs.isPresent() && other.maxAgeMs.isPresent())
        || (cutOffReads.isPresent() && other.cutOffReads.isPresent())
        || (weight.isPresent() && other.weight.isPresent());
  }

  /**
   * Returns the service with these rules in place of its own.
   *
   * @param service the service
   * @return the altered service
   */
  ServiceSpec over(ServiceSpec service) {
    return new ServiceSpec(
        service.name(),
        service.group(),
        durability.orElse(service.durability()),
        maxAgeMs.orElse(service.maxAgeMs()),
        cutOffReads.orElse(service.cutOffReads()),
        weight.orElse(service.weight()));
  }
}
