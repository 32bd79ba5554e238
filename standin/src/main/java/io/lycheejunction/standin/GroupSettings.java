package io.lycheejunction.standin;

import java.util.Objects;

/**
 * The settings of one database group.
 *
 * @param name the name of the group
 * @param instances the number of instances, at least 1
 * @param slots the number of statements that one instance runs concurrently, at least 1
 * @param connections the number of sessions that one instance allows, at least 1
 * @param connectMs the time to set up a session, in milliseconds
 * @param executeMs the time to serve a statement, in milliseconds
 * @param replicaLagMs the replication lag of each replica in addition to the delay of the link, in
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
  /** Rejects a null name and counts below 1. */
  public GroupSettings {
    Objects.requireNonNull(name, "name is null");
    if (instances < 1 || slots < 1 || connections < 1) {
      throw new IllegalArgumentException("instances, slots and connections must be positive");
    }
  }
}
