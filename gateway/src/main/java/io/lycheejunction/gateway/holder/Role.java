package io.lycheejunction.gateway.holder;

import io.lycheejunction.common.log.EventLog;

/** Whether this VM holds connections to targets, or forwards statements to VMs that do. */
public final class Role {
  private static final EventLog LOG = EventLog.of(Role.class);

  private enum State {
    UNKNOWN,
    HOLDS,
    FORWARDS
  }

  private State state = State.UNKNOWN;

  /** Creates a role that is not decided yet. */
  public Role() {}

  /**
   * Returns whether statements are forwarded.
   *
   * @return true if so; false also while the role is not decided
   */
  public boolean isForwarding() {
    return state == State.FORWARDS;
  }

  /**
   * Returns whether this VM is known to hold connections.
   *
   * @return true if so
   */
  public boolean isHolding() {
    return state == State.HOLDS;
  }

  /** Decides that this VM holds connections. */
  public void hold() {
    become(State.HOLDS);
  }

  /** Decides that this VM forwards statements. */
  public void forward() {
    become(State.FORWARDS);
  }

  private void become(State next) {
    if (state != next) {
      LOG.info("role_changed", "before", state, "after", next);
      state = next;
    }
  }
}
