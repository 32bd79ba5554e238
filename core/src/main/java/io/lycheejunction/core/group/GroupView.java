package io.lycheejunction.core.group;

import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;

/**
 * The term, primary and confirmed position of a group as one proxy knows them; a later view never
 * has a lower term.
 *
 * @param group the name of the group
 * @param term the highest term known to have a primary
 * @param primary the name of that term's primary, if one is known
 * @param confirmed the last position known to be received by a majority in a confirmed term
 */
public record GroupView(String group, long term, Optional<String> primary, LogPosition confirmed) {
  /** Rejects null components. */
  public GroupView {
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(primary, "primary is null");
    Objects.requireNonNull(confirmed, "confirmed is null");
  }

  /**
   * Returns the initial view of a group, before anything is known about it.
   *
   * @param group the name of the group
   * @return the view, at term 0
   */
  public static GroupView unknown(String group) {
    return new GroupView(group, 0, Optional.empty(), LogPosition.ORIGIN);
  }

  /**
   * Returns the combination of this view and another one.
   *
   * @param other a view of the same group
   * @return a view with the term and primary of the higher term and the later confirmed position
   */
  public GroupView merge(GroupView other) {
    GroupView newer = other.term > term || (other.term == term && primary.isEmpty()) ? other : this;
    return new GroupView(group, newer.term, newer.primary, confirmed.max(other.confirmed));
  }
}
