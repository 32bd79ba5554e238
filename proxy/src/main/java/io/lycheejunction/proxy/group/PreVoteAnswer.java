package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.Objects;

/**
 * Answers a {@link PreVoteCall}.
 *
 * @param gone true if the proxy sees no primary at the term of its view
 * @param view what the proxy knows of the group
 */
record PreVoteAnswer(boolean gone, GroupView view) {
  PreVoteAnswer {
    Objects.requireNonNull(view, "view is null");
  }
}
