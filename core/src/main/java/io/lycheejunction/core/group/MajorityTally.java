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
 * The answers of one round over the instances of a group, and what a majority of them proves.
 *
 * @param spec the group
 * @param statuses the answers, by the name of the instance
 */
public record MajorityTally(GroupSpec spec, Map<String, TargetStatus> statuses) {

  /** Rejects null components and copies the answers. */
  public MajorityTally {
    Objects.requireNonNull(spec, "spec is null");
    statuses = Map.copyOf(statuses);
  }

  /**
   * Returns the tally of the answers that come from instances of the group.
   *
   * @param spec the group
   * @param answers the answers; the last one of an instance counts
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
   * @return true if so
   */
  public boolean hasQuorum() {
    return statuses.size() >= spec.majority();
  }

  /**
   * Returns whether a majority of the instances reported exactly the term.
   *
   * @param term the term
   * @return true if so
   */
  public boolean isConfirmed(long term) {
    return statuses.values().stream().filter(s -> s.term() == term).count() >= spec.majority();
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
   * Returns the instance that answered as primary in the highest term of any primary.
   *
   * @return the answer, or empty if no instance answered as primary
   */
  public Optional<TargetStatus> primary() {
    return statuses.values().stream()
        .filter(s -> s.role() == Role.PRIMARY)
        .max(Comparator.comparingLong(TargetStatus::term));
  }

  /**
   * Returns the primary of the term that a majority reported.
   *
   * @return the answer, or empty if there is no such term or its primary did not answer
   */
  public Optional<TargetStatus> confirmedPrimary() {
    return primary().filter(p -> isConfirmed(p.term()));
  }

  /**
   * Returns whether a majority has received the position in the position's term.
   *
   * @param position the position
   * @return true if so
   */
  public boolean isReceived(LogPosition position) {
    long received =
        statuses.values().stream()
            .filter(s -> s.term() == position.term() && s.received().isAtLeast(position))
            .count();
    return received >= spec.majority();
  }

  /**
   * Returns the highest position that a majority has received in the term that it reported.
   *
   * <p>A position of a lower term is not returned, since a primary of a later term could still
   * replace it.
   *
   * @return the position, {@code ORIGIN} if there is none
   */
  public LogPosition majorityReceived() {
    OptionalLong term = confirmedTerm();
    if (term.isEmpty()) {
      return LogPosition.ORIGIN;
    }
    List<LogPosition> received =
        statuses.values().stream()
            .filter(s -> s.term() == term.getAsLong())
            .map(TargetStatus::received)
            .sorted(Comparator.reverseOrder())
            .toList();
    LogPosition shared = received.get(spec.majority() - 1);
    return shared.term() == term.getAsLong() ? shared : LogPosition.ORIGIN;
  }
}
