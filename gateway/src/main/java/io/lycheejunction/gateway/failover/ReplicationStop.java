package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Stops replication on replicas before a promotion where commits are synchronous, so that the old
 * primary can acknowledge no further commit once enough replicas have answered.
 */
final class ReplicationStop {
  private static final long RESUME_TIMEOUT_MS = 200;

  private final FailoverContext failover;
  private final String service;
  private final Set<TargetHandle> stopped = new HashSet<>();

  /**
   * Creates the stop of a service, on no replica yet.
   *
   * @param failover the state and services that failover shares
   * @param service the service
   */
  ReplicationStop(FailoverContext failover, String service) {
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.service = Objects.requireNonNull(service, "service is null");
  }

  /**
   * Returns the command that asks replicas for their status, and stops replication if needed.
   *
   * @param term a term above all that are known
   */
  TargetCommand statusCommand(long term) {
    return isSynchronous() ? new TargetCommand.StopReceiving(term) : new TargetCommand.AskStatus();
  }

  /** Records the replicas that have answered the command. */
  void onAnswered(List<Candidate> answers) {
    answers.forEach(answer -> stopped.add(answer.handle()));
  }

  /** Returns how many replicas must answer so that one of them has every acknowledged commit. */
  int requiredAnswers() {
    if (!isSynchronous()) {
      return 1;
    }
    int replicas = failover.targets().of(service).size() - 1;
    return Math.max(1, replicas - failover.targets().syncReplicasOf(service) + 1);
  }

  /** Resumes replication on the replicas that were told to stop it. */
  void resume() {
    if (!isSynchronous()) {
      return;
    }
    StatusRound.start(
        failover.scheduler(),
        failover.linkOpener(),
        List.copyOf(stopped),
        new TargetCommand.ResumeReceiving(),
        RESUME_TIMEOUT_MS,
        answers -> {});
  }

  private boolean isSynchronous() {
    return failover.targets().syncReplicasOf(service) > 0;
  }
}
