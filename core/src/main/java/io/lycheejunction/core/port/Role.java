package io.lycheejunction.core.port;

/** The role of an instance in its group. */
public enum Role {
  /** The instance accepts writes in its term. */
  PRIMARY,
  /** The instance replicates the primary's log. */
  REPLICA
}
