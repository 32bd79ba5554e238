package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;

/** Decides what a session must see after an answer. */
final class Sessions {

  private Sessions() {}

  /**
   * Returns the session after a commit.
   *
   * <p>The commit of a replayed answer may lie before other writes of a session of which the group
   * is not known; the group then stays unknown, and reads ask for its floor.
   *
   * @param session the session before
   * @param group the name of the group
   * @param position the position of the commit
   * @param replayed true if the commit was made by an earlier request
   * @return the session after
   */
  static SessionToken afterCommit(
      SessionToken session, String group, LogPosition position, boolean replayed) {
    return replayed && session.floor(group).isEmpty() ? session : session.with(group, position);
  }
}
