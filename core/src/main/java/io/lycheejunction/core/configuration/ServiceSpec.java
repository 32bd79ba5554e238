package io.lycheejunction.core.configuration;

import java.util.Objects;

/**
 * A service: the name that callers use, the group that stores its data, and its rules.
 *
 * @param name the name of the service
 * @param group the name of the group
 * @param durability when a write is acknowledged
 * @param maxAgeMs the maximum data age that a read of this service may accept, in milliseconds; 0
 *     allows no stale reads
 * @param cutOffReads how a read is handled when the age of the data cannot be proven
 * @param weight the service's share of a target's queue, relative to other services; at least 1
 */
public record ServiceSpec(
    String name,
    String group,
    Durability durability,
    long maxAgeMs,
    CutOffReads cutOffReads,
    int weight) {
  /** Rejects null components. */
  public ServiceSpec {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(durability, "durability is null");
    Objects.requireNonNull(cutOffReads, "cutOffReads is null");
  }
}
