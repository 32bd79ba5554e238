package io.lycheejunction.standin.model;

/**
 * The limits and service times of each instance of a group.
 *
 * @param slots the number of statements that run concurrently
 * @param connections the number of sessions that may be open
 * @param connectMs the time to open a session, in milliseconds
 * @param executeMs the time to run a statement, in milliseconds
 */
public record ModelLimits(int slots, int connections, long connectMs, long executeMs) {
  /** Practically no limits, and no service times. */
  public static final ModelLimits NONE = new ModelLimits(10_000, 10_000, 0, 0);
}
