package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionRequest;
import io.lycheejunction.core.admission.PriorityClass;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;

/** Looks up idempotency keys on primaries that this proxy holds. */
final class LocalOutcomes {
  /** The service name under which look-ups wait for a slot, apart from the services of callers. */
  private static final String QUEUE_NAME = "key-outcomes";

  private final HeldTargets targets;
  private final GroupMonitor monitor;
  private final TargetPort port;
  private final Acknowledgement acknowledgement;

  LocalOutcomes(
      HeldTargets targets, GroupMonitor monitor, TargetPort port, Acknowledgement acknowledgement) {
    this.targets = targets;
    this.monitor = monitor;
    this.port = port;
    this.acknowledgement = acknowledgement;
  }

  /** Returns the outcome that a majority has received for a key, or {@code NOT_HOLDER}. */
  Result<KeyAnswer> outcome(KeyQuery query, Deadline deadline) {
    return targets
        .find(query.group(), query.target())
        .flatMap(
            held ->
                confirmPrimary(query, deadline).flatMap(view -> queryTarget(query, held, deadline)))
        .map(LocalOutcomes::toAnswer)
        .flatMap(answer -> acknowledge(query, answer, deadline));
  }

  private Result<GroupView> confirmPrimary(KeyQuery query, Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    Result<GroupView> view =
        monitor.confirmTerm(query.group(), query.term(), deadline.remainingMs());
    return view.flatMap(
        confirmed ->
            confirmed.primary().equals(Optional.of(query.target()))
                ? view
                : Result.failure(ResultCode.NOT_PRIMARY, query.target()));
  }

  private Result<KeyOutcome> queryTarget(KeyQuery query, HeldTarget held, Deadline deadline) {
    AdmissionRequest request =
        new AdmissionRequest(
            QUEUE_NAME, 1, QUEUE_NAME, PriorityClass.URGENT, deadline.remainingMs());
    return held.runInSlot(
        request,
        Optional::empty,
        () ->
            query.cancelIfAbsent()
                ? port.cancel(held.spec(), query.term(), query.key(), deadline.remainingMs())
                : port.lookUp(held.spec(), query.term(), query.key(), deadline.remainingMs()));
  }

  private Result<KeyAnswer> acknowledge(KeyQuery query, KeyAnswer answer, Deadline deadline) {
    return acknowledgement
        .await(query.group(), query.term(), Durability.MAJORITY, answer.position(), deadline)
        .map(view -> answer);
  }

  private static KeyAnswer toAnswer(KeyOutcome outcome) {
    return switch (outcome) {
      case KeyOutcome.Recorded recorded ->
          new KeyAnswer(KeyAnswer.State.RECORDED, recorded.rows(), recorded.position());
      case KeyOutcome.Cancelled cancelled ->
          new KeyAnswer(KeyAnswer.State.CANCELLED, List.of(), cancelled.position());
      case KeyOutcome.Absent absent ->
          new KeyAnswer(KeyAnswer.State.ABSENT, List.of(), absent.position());
    };
  }
}
