package io.lycheejunction.core.configuration;

import java.util.Objects;

/**
 * One instance of a database group.
 *
 * @param name the name, unique within the configuration
 * @param failureDomain the failure domain that the instance runs in
 * @param address the instance's address as {@code ip:port}
 */
public record TargetSpec(String name, String failureDomain, String address) {
  /** Rejects null components. */
  public TargetSpec {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(address, "address is null");
  }
}
