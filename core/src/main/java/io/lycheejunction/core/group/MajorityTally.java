package io.lycheejunction.core.group;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The statuses that the instances of a group reported in one round, and what a majority of them
 * proves.
 *
 * @param spec the configuration of the group
 * @param statuses the reported statuses, by instance name
 */
public record MajorityTally(GroupSpec spec, Map<String, TargetStatus> statuses) {

  /** Rejects null components and copies the map. */
  public MajorityTally {
    Objects.requireNonNull(spec, "spec is null");
    statuses = Map.copyOf(statuses);
  }

  /**
   * Returns a tally of the statuses; those from outside the group are ignored.
   *
   * @param spec the configuration of the group
   * @param answers the reported statuses; the last one of an instance counts
   * @return the tally
   */
  public static MajorityTally of(GroupSpec spec, Collection<TargetStatus> answers) {
    Map<String, TargetStatus> members = new LinkedHashMap<>();
    for (TargetStatus status : answers) {
      if (spec.target(status.target()).isPresent()) {
        members.put(status.target(), status);
      }
    }
    return new MajorityTally(spec, members);
  }

  /**
   * Returns whether a majority of the instances answered.
   *
   * @return true if there are enough statuses for a majority
   */
  public boolean hasQuorum() {
    return statuses.size() >= spec.majority();
  }

  /**
   * Returns whether a majority of the instances reported exactly the term.
   *
   * @param term the term
   * @return true if a majority is in the term
   */
  public boolean isConfirmed(long term) {
    return statuses.values().stream().filter(status -> status.term() == term).count()
        >= spec.majority();
  }

  /**
   * Returns the term that a majority of the instances reported.
   *
   * @return the term, or empty if no term has a majority
   */
  public OptionalLong confirmedTerm() {
    for (TargetStatus status : statuses.values()) {
      if (isConfirmed(status.term())) {
        return OptionalLong.of(status.term());
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Returns the highest term that any instance reported.
   *
   * @return the term, 0 if none answered
   */
  public long highestTerm() {
    return statuses.values().stream().mapToLong(TargetStatus::term).max().orElse(0);
  }

  /**
   * Returns the status of the primary, or of the one with the highest term if several instances
   * reported to be primary.
   *
   * @return the status, or empty if no instance reported to be primary
   */
  public Optional<TargetStatus> primary() {
    return statuses.values().stream()
        .filter(status -> status.role() == Role.PRIMARY)
        .max(Comparator.comparingLong(TargetStatus::term));
  }

  /**
   * Returns the status of the primary if a majority reported its term.
   *
   * @return the status, or empty if no term has a majority or its primary did not answer
   */
  public Optional<TargetStatus> confirmedPrimary() {
    return primary().filter(status -> isConfirmed(status.term()));
  }

  /**
   * Returns whether a majority has received the position in the position's term.
   *
   * @param position the position
   * @return true if a majority is in that term and includes the position
   */
  public boolean isReceived(LogPosition position) {
    long received =
        statuses.values().stream()
            .filter(
                status -> status.term() == position.term() && status.received().isAtLeast(position))
            .count();
    return received >= spec.majority();
  }

  /**
   * Returns the highest position that a majority has received in the term that it reported.
   *
   * <p>A position of a lower term is not returned, since the primary of a later term could still
   * overwrite it.
   *
   * @return the position, or {@code ORIGIN} if there is none
   */
  public LogPosition majorityReceived() {
    OptionalLong term = confirmedTerm();
    if (term.isEmpty()) {
      return LogPosition.ORIGIN;
    }
    List<LogPosition> received =
        statuses.values().stream()
            .filter(status -> status.term() == term.getAsLong())
            .map(TargetStatus::received)
            .sorted(Comparator.reverseOrder())
            .toList();
    LogPosition byMajority = received.get(spec.majority() - 1);
    return byMajority.term() == term.getAsLong() ? byMajority : LogPosition.ORIGIN;
  }
}
