package io.lycheejunction.proxy.supervisor;

/** A part of the proxy that a supervisor starts and stops. */
public interface Child {

  /**
   * Returns the child's name in logs and in {@code /health}.
   *
   * @return the name
   */
  String name();

  /**
   * Starts the child; returns when those that depend on it may start.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void start() throws InterruptedException;

  /** Stops the child after the work that it has accepted is finished; idempotent. */
  void stop();

  /**
   * Returns whether the child works; the supervisor restarts one that does not.
   *
   * @return false if the child has failed
   */
  default boolean isHealthy() {
    return true;
  }
}
