package io.lycheejunction.core.configuration;

import java.util.Map;
import java.util.Optional;

/**
 * An immutable snapshot of the configuration at one version.
 *
 * @param version the number of changes applied so far
 * @param groups the groups by name
 * @param services the services by name
 */
public record Configuration(
    long version, Map<String, GroupSpec> groups, Map<String, ServiceSpec> services) {
  private static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of());

  /** Copies the maps. */
  public Configuration {
    groups = Map.copyOf(groups);
    services = Map.copyOf(services);
  }

  /**
   * Returns the configuration before the first change.
   *
   * @return the empty configuration, at version 0
   */
  public static Configuration empty() {
    return EMPTY;
  }

  /**
   * Returns the service of the given name.
   *
   * @param name the name
   * @return the service, or empty if there is none
   */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the group of the given name.
   *
   * @param name the name
   * @return the group, or empty if there is none
   */
  public Optional<GroupSpec> group(String name) {
    return Optional.ofNullable(groups.get(name));
  }

  /**
   * Returns the group that stores the data of the given service.
   *
   * @param service the service
   * @return the group, or empty if it does not exist
   */
  public Optional<GroupSpec> groupOf(ServiceSpec service) {
    return group(service.group());
  }

  /**
   * Returns the group that a target belongs to.
   *
   * @param target the name of the target
   * @return the group, or empty if no group has the target
   */
  public Optional<GroupSpec> groupOfTarget(String target) {
    return groups.values().stream().filter(group -> group.target(target).isPresent()).findFirst();
  }
}
