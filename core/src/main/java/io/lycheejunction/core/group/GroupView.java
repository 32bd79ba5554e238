package io.lycheejunction.core.group;

import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;

/**
 * What this proxy knows of a group; a later view never has a lower term.
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
   * Returns the view of a group of which nothing is known yet.
   *
   * @param group the name of the group
   * @return the view, at term 0
   */
  public static GroupView unknown(String group) {
    return new GroupView(group, 0, Optional.empty(), LogPosition.ORIGIN);
  }

  /**
   * Returns this view with what another one adds.
   *
   * @param other a view of the same group
   * @return the view of the higher term, with the later confirmed position
   */
  public GroupView merge(GroupView other) {
    GroupView newer = other.term > term || (other.term == term && primary.isEmpty()) ? other : this;
    return new GroupView(group, newer.term, newer.primary, confirmed.max(other.confirmed));
  }
}
