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
   * Starts the child; returns when the children that depend on it may start.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void start() throws InterruptedException;

  /** Finishes the accepted work and stops the child; idempotent. */
  void stop();

  /**
   * Returns whether the child is healthy; the supervisor restarts a child that is not.
   *
   * @return false if the child has failed
   */
  default boolean isHealthy() {
    return true;
  }
}
