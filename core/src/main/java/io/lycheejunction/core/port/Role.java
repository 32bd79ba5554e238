package io.lycheejunction.core.port;

/** The role of an instance in its group. */
public enum Role {
  /** The instance accepts writes in its term. */
  PRIMARY,
  /** The instance copies the primary's log. */
  REPLICA
}
