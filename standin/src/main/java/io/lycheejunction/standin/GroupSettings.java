package io.lycheejunction.standin;

import java.util.Objects;

/**
 * The settings of one database group.
 *
 * @param name the name of the group
 * @param instances the number of instances
 * @param slots the statements that one instance runs at once
 * @param connections the sessions that one instance allows
 * @param connectMs the time to set up a session, in milliseconds
 * @param executeMs the time to serve a statement, in milliseconds
 * @param replicaLagMs the time that an entry takes to a replica besides the link's delay, in
 *     milliseconds
 */
public record GroupSettings(
    String name,
    int instances,
    int slots,
    int connections,
    long connectMs,
    long executeMs,
    long replicaLagMs) {
  /** Rejects a null name and a group without instances. */
  public GroupSettings {
    Objects.requireNonNull(name, "name is null");
    if (instances < 1 || slots < 1 || connections < 1) {
      throw new IllegalArgumentException("instances, slots and connections must be positive");
    }
  }
}
