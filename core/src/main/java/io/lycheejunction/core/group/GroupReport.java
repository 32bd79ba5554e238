package io.lycheejunction.core.group;

import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state of a group for operators, as one proxy knows it.
 *
 * @param view the term, primary and confirmed position of the group
 * @param monitored true if this proxy monitors the group; otherwise the instances are unknown
 * @param majorityConfirmed true if a majority has confirmed the term within the lease
 * @param instances the instances, in the order of the configuration
 * @param lastFailover the last promotion that this proxy performed, if any
 */
public record GroupReport(
    GroupView view,
    boolean monitored,
    boolean majorityConfirmed,
    List<Instance> instances,
    Optional<Promotion> lastFailover) {

  /**
   * The state of one instance, as of its last answer.
   *
   * @param target the name of the instance
   * @param term the term that it last reported
   * @param role the role that it last reported
   * @param received the position of the last log entry that it has received
   * @param applied the position of the last log entry that its reads include
   * @param lagEntries the number of log entries of the primary that it has not applied
   * @param ageMs the proven upper bound for the age of its data, in milliseconds, if there is one
   * @param sinceLastAnswerMs the time since its last answer, in milliseconds
   * @param suspected true if failure detection considers it gone
   */
  public record Instance(
      String target,
      long term,
      Role role,
      LogPosition received,
      LogPosition applied,
      long lagEntries,
      OptionalLong ageMs,
      long sinceLastAnswerMs,
      boolean suspected) {
    /** Rejects null components. */
    public Instance {
      Objects.requireNonNull(target, "target is null");
      Objects.requireNonNull(role, "role is null");
      Objects.requireNonNull(received, "received is null");
      Objects.requireNonNull(applied, "applied is null");
      Objects.requireNonNull(ageMs, "ageMs is null");
    }
  }

  /**
   * One promotion.
   *
   * @param term the term that began
   * @param primary the name of the new primary
   * @param reason the reason for the promotion
   * @param wallMs the wall-clock time at which it ended, in milliseconds since the epoch
   * @param durationMs the time from the decision to the promotion, in milliseconds
   */
  public record Promotion(long term, String primary, String reason, long wallMs, long durationMs) {
    /** Rejects null components. */
    public Promotion {
      Objects.requireNonNull(primary, "primary is null");
      Objects.requireNonNull(reason, "reason is null");
    }
  }

  /** Rejects null components and copies the list. */
  public GroupReport {
    Objects.requireNonNull(view, "view is null");
    instances = List.copyOf(instances);
    Objects.requireNonNull(lastFailover, "lastFailover is null");
  }
}
