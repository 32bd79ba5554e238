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
 * One claim of a term for a group, from the first fence to the promotion or its failure.
 *
 * <p>A claim promotes at most one instance, and only that one is asked again when an answer is
 * lost. Whoever gives a claim up starts a new one with a higher term.
 *
 * @param spec the group
 * @param term the claimed term
 * @param claimant identifies the claim; no other claim uses it
 * @param preferred the instance that an operator has named, if any
 * @param leaseMs the time to wait after the fence that made the majority, in milliseconds
 * @param fenced the answers of the instances that accepted the claim
 * @param refusing the instances that did not accept the claim
 * @param step what the claim waits for
 */
public record Claim(
    GroupSpec spec,
    long term,
    String claimant,
    Optional<String> preferred,
    long leaseMs,
    Map<String, TargetStatus> fenced,
    Set<String> refusing,
    Step step) {

  /** What a claim waits for. */
  public sealed interface Step {
    /** The claim waits for fences. */
    record Fencing() implements Step {}

    /**
     * A majority is fenced and the lease of the replaced primary may still run.
     *
     * @param untilMs the monotonic time at which it has passed, in milliseconds
     */
    record WaitingOutLease(long untilMs) implements Step {}

    /**
     * An instance has been asked to become the primary.
     *
     * @param target the name of the instance
     */
    record Promoting(String target) implements Step {}

    /**
     * The instance is the primary of the claimed term.
     *
     * @param primary the answer of the instance
     */
    record Won(TargetStatus primary) implements Step {}

    /**
     * The claim has failed.
     *
     * @param reason one line for a person
     */
    record Lost(String reason) implements Step {}
  }

  /** What happens to a claim. */
  public sealed interface Event {
    /**
     * An instance accepted the claim.
     *
     * @param status its answer
     * @param nowMs the monotonic time, in milliseconds
     */
    record Fenced(TargetStatus status, long nowMs) implements Event {}

    /**
     * An instance did not accept the claim, or gave no answer.
     *
     * @param target the name of the instance
     * @param reason one line for a person
     */
    record NotFenced(String target, String reason) implements Event {}

    /**
     * Time has passed.
     *
     * @param nowMs the monotonic time, in milliseconds
     */
    record Elapsed(long nowMs) implements Event {}

    /**
     * The chosen instance became the primary.
     *
     * @param status its answer
     */
    record Promoted(TargetStatus status) implements Event {}

    /**
     * The chosen instance did not become the primary, or gave no answer.
     *
     * @param reason one line for a person
     */
    record NotPromoted(String reason) implements Event {}

    /**
     * The claimant gives the claim up.
     *
     * @param reason one line for a person
     */
    record Abandoned(String reason) implements Event {}
  }

  /** Rejects null components and copies the collections. */
  public Claim {
    Objects.requireNonNull(spec, "spec is null");
    Objects.requireNonNull(claimant, "claimant is null");
    Objects.requireNonNull(preferred, "preferred is null");
    Objects.requireNonNull(step, "step is null");
    fenced = Map.copyOf(fenced);
    refusing = Set.copyOf(refusing);
  }

  /**
   * Returns a claim that waits for its first fence.
   *
   * @param spec the group
   * @param term the claimed term
   * @param claimant identifies the claim
   * @param preferred the instance that an operator has named, if any
   * @param leaseMs the time to wait after the fence that made the majority, in milliseconds
   * @return the claim
   */
  public static Claim start(
      GroupSpec spec, long term, String claimant, Optional<String> preferred, long leaseMs) {
    return new Claim(
        spec, term, claimant, preferred, leaseMs, Map.of(), Set.of(), new Step.Fencing());
  }

  /**
   * Returns the claim after an event; an event that the step does not wait for changes nothing.
   *
   * @param event the event
   * @return the new claim
   */
  public Claim on(Event event) {
    return switch (event) {
      case Event.Fenced(TargetStatus status, long nowMs) -> fenced(status, nowMs);
      case Event.NotFenced(String target, String reason) -> notFenced(target, reason);
      case Event.Elapsed(long nowMs) -> elapsed(nowMs);
      case Event.Promoted(TargetStatus status) -> promoted(status);
      case Event.NotPromoted(String reason) ->
          step instanceof Step.Promoting ? at(new Step.Lost(reason)) : this;
      case Event.Abandoned(String reason) ->
          step instanceof Step.Won ? this : at(new Step.Lost(reason));
    };
  }

  private Claim fenced(TargetStatus status, long nowMs) {
    boolean waits = step instanceof Step.Fencing || step instanceof Step.WaitingOutLease;
    if (!waits || status.term() != term || spec.target(status.target()).isEmpty()) {
      return this;
    }
    Map<String, TargetStatus> more = new HashMap<>(fenced);
    more.put(status.target(), status);
    Claim next = new Claim(spec, term, claimant, preferred, leaseMs, more, refusing, step);
    return step instanceof Step.Fencing && more.size() >= spec.majority()
        ? next.at(new Step.WaitingOutLease(nowMs + leaseMs))
        : next;
  }

  private Claim notFenced(String target, String reason) {
    if (!(step instanceof Step.Fencing) || fenced.containsKey(target)) {
      return this;
    }
    Set<String> more = new HashSet<>(refusing);
    more.add(target);
    Claim next = new Claim(spec, term, claimant, preferred, leaseMs, fenced, more, step);
    return spec.targets().size() - more.size() < spec.majority()
        ? next.at(new Step.Lost("no majority accepted the term: " + reason))
        : next;
  }

  private Claim elapsed(long nowMs) {
    if (!(step instanceof Step.WaitingOutLease(long untilMs)) || nowMs < untilMs) {
      return this;
    }
    return Choice.of(spec, fenced.values(), preferred)
        .map(chosen -> at(new Step.Promoting(chosen.target())))
        .orElseGet(() -> at(new Step.Lost("no instance can be promoted")));
  }

  private Claim promoted(TargetStatus status) {
    return step instanceof Step.Promoting(String target)
            && target.equals(status.target())
            && status.term() == term
        ? at(new Step.Won(status))
        : this;
  }

  private Claim at(Step next) {
    return new Claim(spec, term, claimant, preferred, leaseMs, fenced, refusing, next);
  }
}
