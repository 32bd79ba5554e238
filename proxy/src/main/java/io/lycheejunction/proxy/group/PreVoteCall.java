package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.Objects;

/**
 * Asks whether a proxy sees the primary of a group gone and lets the requesting proxy claim.
 *
 * @param asker the name of the requesting proxy
 * @param rank its rank among the candidates for the claim, from 0
 * @param view the view of the group on the requesting proxy
 */
record PreVoteCall(String asker, int rank, GroupView view) {
  PreVoteCall {
    Objects.requireNonNull(asker, "asker is null");
    Objects.requireNonNull(view, "view is null");
  }
}
