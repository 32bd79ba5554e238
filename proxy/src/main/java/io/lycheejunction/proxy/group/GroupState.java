package io.lycheejunction.proxy.group;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.failover.Suspicion;
import io.lycheejunction.core.group.AckLease;
import io.lycheejunction.core.group.Evidence;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.MajorityTally;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** What this proxy knows of one group; safe for use by several threads. */
final class GroupState {
  private final ViewHolder view;
  private final Map<String, TargetStatus> statuses = new HashMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private AckLease lease = AckLease.none();
  private Evidence evidence = Evidence.empty();
  private LogPosition received = LogPosition.ORIGIN;
  private long frozenTerm = -1;
  private long frozenUntilMs;
  private long highestClaimed;
  private final ClaimGrant grant = new ClaimGrant();

  GroupState(String group) {
    view = new ViewHolder(group);
  }

  GroupView view() {
    return view.get();
  }

  GroupView learn(GroupView other) {
    return view.merge(other);
  }

  /**
   * Records the answer of an instance.
   *
   * @param status the answer
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void answered(TargetStatus status, long nowMs) {
    statuses.merge(status.target(), status, GroupState::later);
    suspicions.put(status.target(), suspicion(status.target(), nowMs).answered(nowMs));
  }

  private static TargetStatus later(TargetStatus old, TargetStatus fresh) {
    return fresh.term() < old.term() ? old : fresh;
  }

  /**
   * Records that a request was sent to an instance.
   *
   * @param target the name of the instance
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void asked(String target, long nowMs) {
    suspicions.put(target, suspicion(target, nowMs).asked(nowMs));
  }

  /**
   * Records that an instance refused a connection.
   *
   * @param target the name of the instance
   * @param sentMs the monotonic time at which the connection was tried, in milliseconds
   */
  synchronized void refused(String target, long sentMs) {
    suspicions.put(target, suspicion(target, sentMs).refusedAt(sentMs));
  }

  /**
   * Records what the answers of a round prove so far.
   *
   * @param tally the answers
   * @param startMs the monotonic time at which the round started, in milliseconds
   */
  synchronized void proved(MajorityTally tally, long startMs) {
    OptionalLong term = tally.confirmedTerm();
    if (term.isPresent()) {
      lease = lease.max(new AckLease(term.getAsLong(), startMs));
      received = received.max(tally.majorityReceived());
    }
    Optional<TargetStatus> primary = tally.primary();
    if (primary.isPresent() && primary.get().term() >= view.get().term()) {
      String group = view.get().group();
      view.merge(
          new GroupView(
              group, primary.get().term(), Optional.of(primary.get().target()), received));
    }
    tally
        .confirmedPrimary()
        .ifPresent(p -> evidence = evidence.with(startMs, p.received(), tally.majorityReceived()));
  }

  synchronized Suspicion suspicion(String target, long nowMs) {
    return suspicions.computeIfAbsent(target, name -> Suspicion.unseen(nowMs));
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
   * Refuses to confirm a term for a while.
   *
   * @param term the term
   * @param untilMs the monotonic time at which the refusal ends, in milliseconds
   */
  synchronized void freeze(long term, long untilMs) {
    frozenTerm = term;
    frozenUntilMs = untilMs;
  }

  /**
   * Records a term that this proxy has claimed without success.
   *
   * @param term the term
   */
  synchronized void claimed(long term) {
    highestClaimed = Math.max(highestClaimed, term);
  }

  /**
   * Returns the highest term that this proxy knows of.
   *
   * @return the highest term of the view, of any answer and of its own lost claims
   */
  synchronized long highestTerm() {
    long highest = Math.max(highestClaimed, view.get().term());
    for (TargetStatus status : statuses.values()) {
      highest = Math.max(highest, status.term());
    }
    return highest;
  }

  ClaimGrant grant() {
    return grant;
  }

  synchronized boolean isFrozen(long term, long nowMs) {
    return term == frozenTerm && nowMs < frozenUntilMs;
  }

  synchronized Optional<TargetStatus> status(String target) {
    return Optional.ofNullable(statuses.get(target));
  }

  /**
   * Returns what this proxy sees of the group's primary.
   *
   * @param spec the group
   * @param nowMs the monotonic time, in milliseconds
   * @return the sight
   */
  synchronized PrimaryLoss.Sight sight(GroupSpec spec, long nowMs) {
    return PrimaryLoss.of(spec, view.get(), statuses, target -> suspicion(target, nowMs), nowMs);
  }

  synchronized AckLease lease() {
    return lease;
  }

  synchronized LogPosition received() {
    return received;
  }

  synchronized OptionalLong ageMs(LogPosition applied, long nowMs) {
    return evidence.ageMs(applied, nowMs);
  }
}
