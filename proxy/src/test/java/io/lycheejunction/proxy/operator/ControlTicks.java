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

  /** Announces that the proxy is leaving. */
  public static void announceLeaving(Control control) {
    control.heartbeats().announceLeaving();
  }
}
