package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.concurrent.atomic.AtomicReference;

/** Holds the view of one group, whose term never goes back; safe for use by several threads. */
final class ViewHolder {
  private final AtomicReference<GroupView> view;

  ViewHolder(String group) {
    view = new AtomicReference<>(GroupView.unknown(group));
  }

  /**
   * Returns the view.
   *
   * @return the latest view
   */
  GroupView get() {
    return view.get();
  }

  /**
   * Returns the view after merging another one into it.
   *
   * @param other the other view
   * @return the merged view
   */
  GroupView merge(GroupView other) {
    return view.accumulateAndGet(other, GroupView::merge);
  }
}
