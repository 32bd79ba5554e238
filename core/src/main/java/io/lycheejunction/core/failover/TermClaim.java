package io.lycheejunction.core.failover;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.port.TargetStatus;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * One claim of a term for a group, from the first fence to the promotion or its failure; immutable.
 *
 * <p>A claim promotes at most one instance: when the answer to a promotion is lost, only the same
 * instance is asked again. After an abandoned claim, the claimant starts a new one with a higher
 * term.
 *
 * @param spec the configuration of the group
 * @param term the claimed term
 * @param claimant the unique identifier of the claim
 * @param preferred the name of the instance that an operator asked to promote, if any
 * @param leaseMs the time to wait after the fence that completed the majority, in milliseconds
 * @param fenced the statuses of the instances that accepted the claim, by instance name
 * @param rejectedBy the names of the instances that did not accept the claim
 * @param step the current step of the claim
 */
public record TermClaim(
    GroupSpec spec,
    long term,
    String claimant,
    Optional<String> preferred,
    long leaseMs,
    Map<String, TargetStatus> fenced,
    Set<String> rejectedBy,
    Step step) {

  /** The steps of a claim. */
  public sealed interface Step {
    /** The claim waits until a majority of the instances is fenced. */
    record Fencing() implements Step {}

    /**
     * A majority is fenced, but the lease of the replaced primary may still be valid.
     *
     * @param untilMs the monotonic time at which that lease has certainly expired, in milliseconds
     */
    record WaitingOutLease(long untilMs) implements Step {}

    /**
     * An instance has been asked to become the primary.
     *
     * @param target the name of the instance
     */
    record Promoting(String target) implements Step {}

    /**
     * The selected instance is the primary of the claimed term.
     *
     * @param primary the status with which the instance answered
     */
    record Won(TargetStatus primary) implements Step {}

    /**
     * The claim has failed.
     *
     * @param reason a one-line explanation for the operator
     */
    record Lost(String reason) implements Step {}
  }

  /** The events that a claim reacts to. */
  public sealed interface Event {
    /**
     * An instance accepted the claim.
     *
     * @param status the status with which the instance answered
     * @param nowMs the monotonic time, in milliseconds
     */
    record Fenced(TargetStatus status, long nowMs) implements Event {}

    /**
     * An instance did not accept the claim, or gave no answer.
     *
     * @param target the name of the instance
     * @param reason a one-line explanation for the operator
     */
    record NotFenced(String target, String reason) implements Event {}

    /**
     * Time has passed.
     *
     * @param nowMs the monotonic time, in milliseconds
     */
    record Elapsed(long nowMs) implements Event {}

    /**
     * The selected instance became the primary.
     *
     * @param status the status with which the instance answered
     */
    record Promoted(TargetStatus status) implements Event {}

    /**
     * The selected instance did not become the primary, or gave no answer.
     *
     * @param reason a one-line explanation for the operator
     */
    record NotPromoted(String reason) implements Event {}

    /**
     * The claimant abandons the claim.
     *
     * @param reason a one-line explanation for the operator
     */
    record Abandoned(String reason) implements Event {}
  }

  /** Rejects null components and copies the collections. */
  public TermClaim {
    Objects.requireNonNull(spec, "spec is null");
    Objects.requireNonNull(claimant, "claimant is null");
    Objects.requireNonNull(preferred, "preferred is null");
    Objects.requireNonNull(step, "step is null");
    fenced = Map.copyOf(fenced);
    rejectedBy = Set.copyOf(rejectedBy);
  }

  /**
   * Returns a claim that waits for its first fence.
   *
   * @param spec the configuration of the group
   * @param term the claimed term
   * @param claimant the unique identifier of the claim
   * @param preferred the name of the instance that an operator asked to promote, if any
   * @param leaseMs the time to wait after the fence that completed the majority, in milliseconds
   * @return the claim in its first step
   */
  public static TermClaim start(
      GroupSpec spec, long term, String claimant, Optional<String> preferred, long leaseMs) {
    return new TermClaim(
        spec, term, claimant, preferred, leaseMs, Map.of(), Set.of(), new Step.Fencing());
  }

  /**
   * Returns the claim after an event; an event that does not apply to the current step is ignored.
   *
   * @param event the event
   * @return the new claim, or this claim if the event is ignored
   */
  public TermClaim apply(Event event) {
    return switch (event) {
      case Event.Fenced(TargetStatus status, long nowMs) -> onFenced(status, nowMs);
      case Event.NotFenced(String target, String reason) -> onNotFenced(target, reason);
      case Event.Elapsed(long nowMs) -> onElapsed(nowMs);
      case Event.Promoted(TargetStatus status) -> onPromoted(status);
      case Event.NotPromoted(String reason) ->
          step instanceof Step.Promoting ? withStep(new Step.Lost(reason)) : this;
      case Event.Abandoned(String reason) ->
          step instanceof Step.Won ? this : withStep(new Step.Lost(reason));
    };
  }

  private TermClaim onFenced(TargetStatus status, long nowMs) {
    boolean acceptsFences = step instanceof Step.Fencing || step instanceof Step.WaitingOutLease;
    if (!acceptsFences || status.term() != term || spec.target(status.target()).isEmpty()) {
      return this;
    }
    Map<String, TargetStatus> allFenced = new HashMap<>(fenced);
    allFenced.put(status.target(), status);
    TermClaim next =
        new TermClaim(spec, term, claimant, preferred, leaseMs, allFenced, rejectedBy, step);
    return step instanceof Step.Fencing && allFenced.size() >= spec.majority()
        ? next.withStep(new Step.WaitingOutLease(nowMs + leaseMs))
        : next;
  }

  private TermClaim onNotFenced(String target, String reason) {
    if (!(step instanceof Step.Fencing) || fenced.containsKey(target)) {
      return this;
    }
    Set<String> allRejectedBy = new HashSet<>(rejectedBy);
    allRejectedBy.add(target);
    TermClaim next =
        new TermClaim(spec, term, claimant, preferred, leaseMs, fenced, allRejectedBy, step);
    return spec.targets().size() - allRejectedBy.size() < spec.majority()
        ? next.withStep(new Step.Lost("no majority accepted the term: " + reason))
        : next;
  }

  private TermClaim onElapsed(long nowMs) {
    if (!(step instanceof Step.WaitingOutLease(long untilMs)) || nowMs < untilMs) {
      return this;
    }
    return CandidateSelection.select(spec, fenced.values(), preferred)
        .map(selected -> withStep(new Step.Promoting(selected.target())))
        .orElseGet(() -> withStep(new Step.Lost("no instance can be promoted")));
  }

  private TermClaim onPromoted(TargetStatus status) {
    return step instanceof Step.Promoting(String target)
            && target.equals(status.target())
            && status.term() == term
        ? withStep(new Step.Won(status))
        : this;
  }

  private TermClaim withStep(Step next) {
    return new TermClaim(spec, term, claimant, preferred, leaseMs, fenced, rejectedBy, next);
  }
}
