package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;

/** Computes the session token that an answer returns. */
final class Sessions {

  private Sessions() {}

  /**
   * Returns the session after a commit.
   *
   * <p>If the session has no known position in the group, a replayed commit may precede other
   * writes of that session. The position then stays unknown, and reads query the group's latest
   * position.
   *
   * @param session the session before the commit
   * @param group the name of the group
   * @param position the position of the commit
   * @param replayed true if the commit was made by an earlier request
   * @return the session after the commit
   */
  static SessionToken afterCommit(
      SessionToken session, String group, LogPosition position, boolean replayed) {
    return replayed && session.floor(group).isEmpty() ? session : session.with(group, position);
  }
}
