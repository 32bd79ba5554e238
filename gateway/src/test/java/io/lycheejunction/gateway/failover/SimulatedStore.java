package io.lycheejunction.gateway.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The votes and the failover lease of one service, with the time at which each was written. */
final class SimulatedStore {
  private static final long VOTE_VALID_MS = 3_000;

  private record Written<T>(T value, long atMs) {}

  /** Whether votes are written, but no VM reads them. */
  boolean votesNotRead;

  /** Called for each failover lease that is written, with the name of the process. */
  Consumer<String> onLease = holder -> {};

  private final Map<String, List<Written<Vote>>> votes = new HashMap<>();
  private final List<Written<Lease>> leases = new ArrayList<>();

  /** Writes a vote; returns whether it repeats the one before. */
  boolean writeVote(Vote vote, long nowMs) {
    List<Written<Vote>> written = votes.computeIfAbsent(vote.vm(), vm -> new ArrayList<>());
    boolean repeated = !written.isEmpty() && written.getLast().value().equals(vote);
    written.add(new Written<>(vote, nowMs));
    return repeated;
  }

  /** Returns the votes that a VM knows which has last read the store at the given time. */
  List<Vote> votes(long readMs) {
    if (votesNotRead) {
      return List.of();
    }
    return votes.values().stream()
        .flatMap(rows -> lastWritten(rows, readMs).stream())
        .filter(row -> row.atMs() >= readMs - VOTE_VALID_MS)
        .map(Written::value)
        .toList();
  }

  /** Returns the lease that a VM knows which has last read the store at the given time. */
  Optional<Lease> lease(long readMs) {
    return lastWritten(leases, readMs).map(Written::value);
  }

  /** Writes the lease if it has the expected revision; returns its token, or empty. */
  Optional<Long> writeLease(String holder, String previous, long expected, long nowMs) {
    long current = leases.isEmpty() ? 0 : leases.getLast().value().revision();
    if (current != expected) {
      return Optional.empty();
    }
    leases.add(new Written<>(new Lease(holder, previous, current + 1, nowMs), nowMs));
    onLease.accept(holder);
    return Optional.of(current + 1);
  }

  private static <T> Optional<Written<T>> lastWritten(List<Written<T>> rows, long untilMs) {
    return rows.reversed().stream().filter(row -> row.atMs() <= untilMs).findFirst();
  }
}
