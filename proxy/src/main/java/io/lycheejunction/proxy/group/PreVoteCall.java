package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.Objects;

/**
 * Asks whether a proxy sees the primary of a group gone, and lets the asking proxy claim.
 *
 * @param asker the name of the asking proxy
 * @param rank its place among those that may claim, from 0
 * @param view what the asking proxy knows of the group
 */
record PreVoteCall(String asker, int rank, GroupView view) {
  PreVoteCall {
    Objects.requireNonNull(asker, "asker is null");
    Objects.requireNonNull(view, "view is null");
  }
}
