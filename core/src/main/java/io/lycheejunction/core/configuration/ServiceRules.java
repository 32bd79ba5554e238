package io.lycheejunction.core.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * The service rules that a change sets; an empty component leaves the rule unset.
 *
 * @param durability when a write is acknowledged
 * @param maxAgeMs the maximum data age that a read may accept, in milliseconds
 * @param cutOffReads how a read is handled when the age of the data cannot be proven
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
   * Returns rules of which none is set.
   *
   * @return the empty rules
   */
  public static ServiceRules empty() {
    return EMPTY;
  }

  /**
   * Returns these rules, overridden by the rules that {@code other} sets.
   *
   * @param other the rules that take precedence
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
   * Returns whether any rule is set in both.
   *
   * @param other the other rules
   * @return true if at least one rule is set in both
   */
  public boolean overlaps(ServiceRules other) {
    return (durability.isPresent() && other.durability.isPresent())
        || (maxAgeMs.isPresent() && other.maxAgeMs.isPresent())
        || (cutOffReads.isPresent() && other.cutOffReads.isPresent())
        || (weight.isPresent() && other.weight.isPresent());
  }

  /**
   * Returns the service with these rules applied; rules that are not set keep their values.
   *
   * @param service the service to alter
   * @return the altered service
   */
  ServiceSpec applyTo(ServiceSpec service) {
    return new ServiceSpec(
        service.name(),
        service.group(),
        durability.orElse(service.durability()),
        maxAgeMs.orElse(service.maxAgeMs()),
        cutOffReads.orElse(service.cutOffReads()),
        weight.orElse(service.weight()));
  }
}
