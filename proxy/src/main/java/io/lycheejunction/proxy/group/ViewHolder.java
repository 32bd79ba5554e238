package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import java.util.concurrent.atomic.AtomicReference;

/** Holds the view of one group, whose term never decreases; thread-safe. */
final class ViewHolder {
  private final AtomicReference<GroupView> view;

  ViewHolder(String group) {
    view = new AtomicReference<>(GroupView.unknown(group));
  }

  /**
   * Returns the current view.
   *
   * @return the view, at term 0 if nothing is known
   */
  GroupView get() {
    return view.get();
  }

  /**
   * Merges another view into the held one and returns the result.
   *
   * @param other the other view
   * @return the merged view
   */
  GroupView merge(GroupView other) {
    return view.accumulateAndGet(other, GroupView::merge);
  }
}
