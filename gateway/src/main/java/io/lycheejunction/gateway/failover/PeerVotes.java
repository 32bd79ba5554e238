package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.peer.PeerAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The votes of VMs that have not voted through the store, requested from them directly.
 *
 * <p>A VM that is cut off from the store may still reach the primary and write to it. Replacing the
 * primary would lose the commits that were acknowledged to that VM.
 */
final class PeerVotes {
  /** The maximum number of requests in flight. */
  static final int MAX_REQUESTS = 12;

  /** How long a vote is valid after it was requested, in milliseconds. */
  static final long VOTE_VALID_MS = 700;

  /** The minimum interval between two requests to the same VM, in milliseconds. */
  static final long REQUEST_INTERVAL_MS = 250;

  private static final EventLog LOG = EventLog.of(PeerVotes.class);

  private record Reply(long requestedMs, long receivedMs, PeerAnswer<Vote> answer) {
    private boolean isValid(long nowMs) {
      return answer instanceof PeerAnswer.Silent<Vote> || nowMs - requestedMs <= VOTE_VALID_MS;
    }
  }

  private final FailoverContext failover;
  private final String service;
  private final Map<String, Reply> replies = new HashMap<>();
  private final Set<String> inFlight = new HashSet<>();
  private String primary = "";

  PeerVotes(FailoverContext failover, String service) {
    this.failover = failover;
    this.service = service;
  }

  /**
   * Requests the votes of VMs on a primary, unless they were requested recently.
   *
   * @param primaryId the identifier of the primary
   * @param vms the names of the VMs
   */
  void ask(String primaryId, Set<String> vms) {
    if (!primaryId.equals(primary)) {
      primary = primaryId;
      replies.clear();
    }
    for (String vm : vms) {
      if (inFlight.size() >= MAX_REQUESTS) {
        return;
      }
      Reply last = replies.get(vm);
      boolean due = last == null || now() - last.requestedMs() >= REQUEST_INTERVAL_MS;
      if (due && inFlight.add(vm)) {
        request(vm);
      }
    }
  }

  /** Returns the votes received from other VMs that are still valid. */
  List<Vote> votes() {
    return replies.values().stream()
        .filter(entry -> entry.isValid(now()))
        .map(
            entry ->
                entry.answer() instanceof PeerAnswer.Replied<Vote> replied ? replied.value() : null)
        .filter(Objects::nonNull)
        .toList();
  }

  /** Returns the VMs on which no gateway process listens, so that none reaches the primary. */
  Set<String> vmsWithoutGateway() {
    Set<String> vms = new HashSet<>();
    replies.forEach(
        (vm, entry) -> {
          if (entry.isValid(now()) && entry.answer() instanceof PeerAnswer.Absent<Vote>) {
            vms.add(vm);
          }
        });
    return vms;
  }

  /** Returns whether all VMs, or at least {@code MAX_REQUESTS}, have answered or timed out. */
  boolean haveReplied(Set<String> vms) {
    long answered = vms.stream().filter(replies::containsKey).count();
    return answered >= Math.min(MAX_REQUESTS, vms.size());
  }

  private void request(String vm) {
    long requestMs = now();
    String primaryId = primary;
    failover
        .peers()
        .requestVote(
            vm,
            service,
            primaryId,
            answer -> {
              inFlight.remove(vm);
              if (primaryId.equals(primary)) {
                recordReply(vm, new Reply(requestMs, now(), answer));
              }
            });
  }

  private void recordReply(String vm, Reply entry) {
    Reply previous = replies.put(vm, entry);
    if (previous == null || !previous.answer().equals(entry.answer())) {
      LOG.info(
          "peer_asked",
          "service",
          service,
          "primary",
          primary,
          "vm",
          vm,
          "answer",
          entry.answer(),
          "took_ms",
          entry.receivedMs() - entry.requestedMs());
    }
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
