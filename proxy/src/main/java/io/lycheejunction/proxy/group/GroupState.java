package io.lycheejunction.proxy.group;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.failover.FailureDetector;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.group.AckLease;
import io.lycheejunction.core.group.ConfirmedPositionHistory;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.MajorityTally;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The state of one group as known to this proxy; thread-safe. */
final class GroupState {
  private final ViewHolder view;
  private final Map<String, TargetStatus> statuses = new HashMap<>();
  private final Map<String, FailureDetector> failureDetectors = new HashMap<>();
  private AckLease lease = AckLease.none();
  private ConfirmedPositionHistory positionHistory = ConfirmedPositionHistory.empty();
  private LogPosition majorityReceived = LogPosition.ORIGIN;
  private long frozenTerm = -1;
  private long frozenUntilMs;
  private long highestLostClaim;
  private final ClaimGrant claimGrant = new ClaimGrant();

  GroupState(String group) {
    view = new ViewHolder(group);
  }

  GroupView view() {
    return view.get();
  }

  GroupView mergeView(GroupView other) {
    return view.merge(other);
  }

  /**
   * Records the answer of an instance.
   *
   * @param status the answer
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void recordAnswer(TargetStatus status, long nowMs) {
    statuses.merge(status.target(), status, GroupState::latestStatus);
    failureDetectors.put(
        status.target(), failureDetector(status.target(), nowMs).afterAnswer(nowMs));
  }

  private static TargetStatus latestStatus(TargetStatus previous, TargetStatus next) {
    return next.term() < previous.term() ? previous : next;
  }

  /**
   * Records that a request was sent to an instance.
   *
   * @param target the name of the instance
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void recordRequest(String target, long nowMs) {
    failureDetectors.put(target, failureDetector(target, nowMs).afterRequest(nowMs));
  }

  /**
   * Records that an instance refused a connection.
   *
   * @param target the name of the instance
   * @param sentMs the monotonic time at which the connection was tried, in milliseconds
   */
  synchronized void recordRefusedConnection(String target, long sentMs) {
    failureDetectors.put(target, failureDetector(target, sentMs).afterRefusedConnection(sentMs));
  }

  /**
   * Records what the answers of a round prove so far: the confirmed term, the position received by
   * a majority and the primary.
   *
   * @param tally the answers
   * @param startMs the monotonic time at which the round started, in milliseconds
   */
  synchronized void recordRound(MajorityTally tally, long startMs) {
    OptionalLong term = tally.confirmedTerm();
    if (term.isPresent()) {
      lease = lease.max(new AckLease(term.getAsLong(), startMs));
      majorityReceived = majorityReceived.max(tally.majorityReceived());
    }
    Optional<TargetStatus> primary = tally.primary();
    if (primary.isPresent() && primary.get().term() >= view.get().term()) {
      String group = view.get().group();
      view.merge(
          new GroupView(
              group, primary.get().term(), Optional.of(primary.get().target()), majorityReceived));
    }
    tally
        .confirmedPrimary()
        .ifPresent(
            p ->
                positionHistory =
                    positionHistory.with(startMs, p.received(), tally.majorityReceived()));
  }

  synchronized FailureDetector failureDetector(String target, long nowMs) {
    return failureDetectors.computeIfAbsent(target, name -> FailureDetector.initial(nowMs));
  }

  /**
   * Returns the last answer of each instance that has answered.
   *
   * @return the answers by the name of the instance
   */
  synchronized Map<String, TargetStatus> statuses() {
    return Map.copyOf(statuses);
  }

  /**
   * Suspends new writes in a term. A later call replaces an earlier one.
   *
   * @param term the term
   * @param untilMs the monotonic time at which writes are allowed again, in milliseconds
   */
  synchronized void freeze(long term, long untilMs) {
    frozenTerm = term;
    frozenUntilMs = untilMs;
  }

  /**
   * Records a term whose claim by this proxy was lost, so that it is not claimed again.
   *
   * @param term the term
   */
  synchronized void recordLostClaim(long term) {
    highestLostClaim = Math.max(highestLostClaim, term);
  }

  /**
   * Returns the highest known term.
   *
   * @return the highest term of the view, of all answers and of this proxy's lost claims
   */
  synchronized long highestTerm() {
    long highest = Math.max(highestLostClaim, view.get().term());
    for (TargetStatus status : statuses.values()) {
      highest = Math.max(highest, status.term());
    }
    return highest;
  }

  ClaimGrant claimGrant() {
    return claimGrant;
  }

  synchronized boolean isFrozen(long term, long nowMs) {
    return term == frozenTerm && nowMs < frozenUntilMs;
  }

  synchronized Optional<TargetStatus> status(String target) {
    return Optional.ofNullable(statuses.get(target));
  }

  /**
   * Returns the state of the group's primary as seen by this proxy.
   *
   * @param spec the group
   * @param nowMs the monotonic time, in milliseconds
   * @return whether the primary is present, gone or vacant
   */
  synchronized PrimaryLoss.PrimaryState primaryState(GroupSpec spec, long nowMs) {
    return PrimaryLoss.observe(
        spec, view.get(), statuses, target -> failureDetector(target, nowMs), nowMs);
  }

  synchronized AckLease lease() {
    return lease;
  }

  synchronized LogPosition majorityReceived() {
    return majorityReceived;
  }

  synchronized OptionalLong ageMs(LogPosition applied, long nowMs) {
    return positionHistory.ageMs(applied, nowMs);
  }
}
