package io.lycheejunction.proxy.operator;

/** Gives tests in other packages access to the periodic steps of a proxy's control plane. */
public final class ControlTicks {
  private ControlTicks() {}

  /** Runs one round of heartbeats. */
  public static void runHeartbeatRound(ControlPlane control) {
    control.heartbeats().runRound();
  }

  /** Polls the platform's list of VMs once. */
  public static void pollVmList(ControlPlane control) {
    control.vmListPoll().poll();
  }

  /** Runs the shutdown on the caller's thread until all parts have drained or the wait is over. */
  public static void runShutdown(GracefulShutdown shutdown) {
    shutdown.run();
  }
}
