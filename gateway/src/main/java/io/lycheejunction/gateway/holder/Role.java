package io.lycheejunction.gateway.holder;

import io.lycheejunction.common.log.EventLog;

/** The role of this VM: it holds connections to targets, or forwards statements to VMs that do. */
public final class Role {
  private static final EventLog LOG = EventLog.of(Role.class);

  private enum State {
    UNKNOWN,
    HOLDS,
    FORWARDS
  }

  private State state = State.UNKNOWN;

  /** Creates an undecided role. */
  public Role() {}

  /**
   * Returns whether this VM forwards statements.
   *
   * @return true if it forwards; false while the role is undecided
   */
  public boolean isForwarding() {
    return state == State.FORWARDS;
  }

  /**
   * Returns whether this VM holds connections.
   *
   * @return true if it holds connections; false while the role is undecided
   */
  public boolean isHolding() {
    return state == State.HOLDS;
  }

  /** Sets the role to holding connections. */
  public void hold() {
    changeTo(State.HOLDS);
  }

  /** Sets the role to forwarding statements. */
  public void forward() {
    changeTo(State.FORWARDS);
  }

  private void changeTo(State next) {
    if (state != next) {
      LOG.info("role_changed", "before", state, "after", next);
      state = next;
    }
  }
}
