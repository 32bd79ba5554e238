package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * What VMs that have not voted through the store say when they are asked directly.
 *
 * <p>A VM that is cut off from the store may still reach the primary and write to it. Replacing the
 * primary would roll back what it has acknowledged.
 */
final class PeerVotes {
  /** The most VMs that are asked about one primary at a time. */
  static final int MAX_ASKED = 12;

  /** How long an answer counts, in milliseconds. */
  static final long FRESH_MS = 700;

  /** The pause between two questions to the same VM, in milliseconds. */
  static final long ASK_AGAIN_MS = 250;

  private static final EventLog LOG = EventLog.of(PeerVotes.class);

  private record Asked(long atMs, long answeredMs, Peers.Answer answer) {
    private boolean isFresh(long nowMs) {
      return answer instanceof Peers.Answer.Silent || nowMs - answeredMs <= FRESH_MS;
    }
  }

  private final Failover failover;
  private final String service;
  private final Map<String, Asked> asked = new HashMap<>();
  private final Set<String> waiting = new HashSet<>();
  private String primary = "";

  PeerVotes(Failover failover, String service) {
    this.failover = failover;
    this.service = service;
  }

  /**
   * Asks VMs what they see of a primary, unless they were asked a moment ago.
   *
   * @param about the identifier of the primary
   * @param vms the names of the VMs
   */
  void ask(String about, Set<String> vms) {
    if (!about.equals(primary)) {
      primary = about;
      asked.clear();
    }
    for (String vm : vms) {
      if (waiting.size() >= MAX_ASKED) {
        return;
      }
      Asked last = asked.get(vm);
      boolean due = last == null || now() - last.atMs() >= ASK_AGAIN_MS;
      if (due && waiting.add(vm)) {
        askOne(vm);
      }
    }
  }

  /** Returns the votes that were given to this VM and still count. */
  List<Vote> votes() {
    return asked.values().stream()
        .filter(entry -> entry.isFresh(now()))
        .map(entry -> entry.answer() instanceof Peers.Answer.Voted voted ? voted.vote() : null)
        .filter(Objects::nonNull)
        .toList();
  }

  /** Returns the VMs on which no process of ours runs, so that they reach no primary either. */
  Set<String> absent() {
    Set<String> absent = new HashSet<>();
    asked.forEach(
        (vm, entry) -> {
          if (entry.isFresh(now()) && entry.answer() instanceof Peers.Answer.Absent) {
            absent.add(vm);
          }
        });
    return absent;
  }

  /** Returns whether the VMs, or as many as are asked at once, have had their time to answer. */
  boolean haveBeenAsked(Set<String> vms) {
    long answered = vms.stream().filter(asked::containsKey).count();
    return answered >= Math.min(MAX_ASKED, vms.size());
  }

  private void askOne(String vm) {
    long askedMs = now();
    String about = primary;
    failover
        .peers()
        .ask(
            vm,
            service,
            about,
            answer -> {
              waiting.remove(vm);
              if (about.equals(primary)) {
                note(vm, new Asked(askedMs, now(), answer));
              }
            });
  }

  private void note(String vm, Asked entry) {
    Asked before = asked.put(vm, entry);
    if (before == null || !before.answer().equals(entry.answer())) {
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
          entry.answeredMs() - entry.atMs());
    }
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
