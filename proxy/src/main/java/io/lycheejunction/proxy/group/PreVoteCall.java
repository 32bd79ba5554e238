package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.Objects;

/**
 * Asks whether a proxy sees the primary of a group gone.
 *
 * @param view what the asking proxy knows of the group
 */
record PreVoteCall(GroupView view) {
  PreVoteCall {
    Objects.requireNonNull(view, "view is null");
  }
}
