package io.lycheejunction.proxy.supervisor;

/** A part of the proxy that finishes its work before the proxy stops. */
public interface Drainable {

  /** Refuses new work from now on; idempotent. */
  void drain();

  /**
   * Returns whether all accepted work is finished.
   *
   * @param timeoutMs the longest time to wait, in milliseconds
   * @return false if work remains after the timeout
   */
  boolean awaitIdle(long timeoutMs);

  /**
   * Returns what the part is waiting for.
   *
   * @return one readable line, empty if no work remains
   */
  String waitingFor();
}
