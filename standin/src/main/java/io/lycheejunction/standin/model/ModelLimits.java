package io.lycheejunction.standin.model;

/**
 * The limits and service times of each instance of a group.
 *
 * @param slots the statements that run at once
 * @param connections the sessions that may be open
 * @param connectMs the time to set up a session, in milliseconds
 * @param executeMs the time to serve a statement, in milliseconds
 */
public record ModelLimits(int slots, int connections, long connectMs, long executeMs) {
  /** Limits that do not matter and no service times. */
  public static final ModelLimits NONE = new ModelLimits(10_000, 10_000, 0, 0);
}
