package io.lycheejunction.proxy.operator;

/** Runs the periodic steps of a proxy's control parts, for tests in other packages. */
public final class ControlTicks {
  private ControlTicks() {}

  /** Exchanges one round of heartbeats. */
  public static void heartbeat(Control control) {
    control.heartbeats().round();
  }

  /** Reads the list of VMs. */
  public static void list(Control control) {
    control.list().poll();
  }

  /** Announces, drains and waits until all work is finished or the bound is reached. */
  public static void run(Shutdown shutdown) {
    shutdown.run();
  }
}
