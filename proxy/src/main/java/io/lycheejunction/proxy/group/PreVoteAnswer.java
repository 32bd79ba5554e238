package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.Objects;

/**
 * The answer to a {@link PreVoteCall}.
 *
 * @param gone true if the proxy sees no working primary and grants the claim
 * @param view the view of the group on the answering proxy
 */
record PreVoteAnswer(boolean gone, GroupView view) {
  PreVoteAnswer {
    Objects.requireNonNull(view, "view is null");
  }
}
