package io.lycheejunction.core.session;

import io.lycheejunction.core.term.LogPosition;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The log position of each group that the reads of a session must include; immutable.
 *
 * @param positions the positions that the session's reads must include, by group
 * @param complete true if the session has written nothing to groups without a position here
 */
public record SessionToken(Map<String, LogPosition> positions, boolean complete) {
  /** The largest number of groups in a token. */
  public static final int MAX_GROUPS = 64;

  /** The largest length of a group's name in a token, in characters. */
  public static final int MAX_NAME_CHARS = 128;

  private static final SessionToken EMPTY = new SessionToken(Map.of(), false);
  private static final SessionToken NEW_SESSION = new SessionToken(Map.of(), true);

  /** Copies the positions. */
  public SessionToken {
    positions = Map.copyOf(positions);
  }

  /**
   * Returns the token of a session with unknown writes.
   *
   * @return a token without positions that is not complete
   */
  public static SessionToken empty() {
    return EMPTY;
  }

  /**
   * Returns the token of a session that has written nothing yet.
   *
   * @return a token without positions that is complete
   */
  public static SessionToken newSession() {
    return NEW_SESSION;
  }

  /**
   * Returns the token of a session with one known position.
   *
   * @param group the name of the group
   * @param position the position
   * @return a token that is not complete
   */
  public static SessionToken of(String group, LogPosition position) {
    return EMPTY.with(group, position);
  }

  /**
   * Returns this token with the later of its own position and the given one.
   *
   * <p>If the token is full, the other group with the lowest position is removed; a group whose
   * name is too long is not added. The token is then no longer complete, so a read of a group
   * without a position has to ask that group for one.
   *
   * @param group the name of the group
   * @param position the position
   * @return the new token
   */
  public SessionToken with(String group, LogPosition position) {
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(position, "position is null");
    if (group.length() > MAX_NAME_CHARS) {
      return new SessionToken(positions, false);
    }
    Map<String, LogPosition> merged = new TreeMap<>(positions);
    merged.merge(group, position, LogPosition::max);
    if (merged.size() <= MAX_GROUPS) {
      return new SessionToken(merged, complete);
    }
    merged.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(group))
        .min(Map.Entry.comparingByValue(Comparator.naturalOrder()))
        .map(Map.Entry::getKey)
        .ifPresent(merged::remove);
    return new SessionToken(merged, false);
  }

  /**
   * Returns the position that the session's reads of a group must include.
   *
   * @param group the name of the group
   * @return the position, or empty if it is unknown and the group must be asked
   */
  public Optional<LogPosition> floor(String group) {
    LogPosition position = positions.get(group);
    if (position != null) {
      return Optional.of(position);
    }
    return complete ? Optional.of(LogPosition.ORIGIN) : Optional.empty();
  }
}
