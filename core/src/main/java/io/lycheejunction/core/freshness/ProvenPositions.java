package io.lycheejunction.core.freshness;

import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;

/**
 * The log positions that a group's primary has shown while it was proven to lead.
 *
 * <p>A position that was asked for at some time includes every commit acknowledged before that
 * time. So a log that has the position lacks nothing older than the question. Not safe for
 * concurrent use.
 */
public final class ProvenPositions {
  /** Positions are kept this far apart, in milliseconds; closer ones add nothing to the choice. */
  public static final long SPACING_MS = 20;

  private record Proof(long askedMs, LogPosition position) {}

  private final long keptMs;
  private final Deque<Proof> proofs = new ArrayDeque<>();
  private long validFromMs = Long.MIN_VALUE;

  /**
   * Creates a history without positions.
   *
   * @param keptMs the longest age that a read may accept, in milliseconds
   */
  public ProvenPositions(long keptMs) {
    this.keptMs = keptMs;
  }

  /**
   * Records a position.
   *
   * @param askedMs the time at which the question was sent, in milliseconds
   * @param position the position that a proven primary answered
   */
  public void record(long askedMs, LogPosition position) {
    Objects.requireNonNull(position, "position is null");
    if (askedMs < validFromMs) {
      return;
    }
    Proof last = proofs.peekLast();
    if (last != null && !isWorthKeeping(last, askedMs, position)) {
      return;
    }
    proofs.addLast(new Proof(askedMs, position));
    while (proofs.peekFirst().askedMs() < askedMs - keptMs) {
      proofs.removeFirst();
    }
  }

  private static boolean isWorthKeeping(Proof last, long askedMs, LogPosition position) {
    if (position.term() != last.position().term()) {
      return position.term() > last.position().term();
    }
    return askedMs >= last.askedMs() + SPACING_MS;
  }

  /**
   * Returns the position that a read must see.
   *
   * <p>Positions of an earlier term than the newest known one are not used: a promotion may have
   * dropped them from every log, and the newest term's positions include all that it kept.
   *
   * @param nowMs the time of the read, in milliseconds
   * @param maxAgeMs the largest age of its data, in milliseconds
   * @param sessionCommit the latest commit of the read's session, or {@code ORIGIN}
   * @return the lowest position that suffices, or empty if none is proven recently enough
   */
  public Optional<LogPosition> floor(long nowMs, long maxAgeMs, LogPosition sessionCommit) {
    if (proofs.isEmpty()) {
      return Optional.empty();
    }
    long newestTerm = proofs.peekLast().position().term();
    for (Proof proof : proofs) {
      if (proof.askedMs() >= nowMs - maxAgeMs && proof.position().term() == newestTerm) {
        LogPosition floor = proof.position();
        return Optional.of(sessionCommit.term() < newestTerm ? floor : floor.max(sessionCommit));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the age of the newest position.
   *
   * @param nowMs the present time, in milliseconds
   * @return the age in milliseconds, or {@code Long.MAX_VALUE} if there is none
   */
  public long newestAgeMs(long nowMs) {
    Proof last = proofs.peekLast();
    return last == null ? Long.MAX_VALUE : nowMs - last.askedMs();
  }

  /**
   * Returns the newest term that a position has shown.
   *
   * @return the term, or 0 if there is no position
   */
  public long newestTerm() {
    Proof last = proofs.peekLast();
    return last == null ? 0 : last.position().term();
  }

  /**
   * Forgets all positions, and ignores answers to questions asked before now.
   *
   * <p>Needed when the clock may have missed time, as after a suspension of the VM.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void forget(long nowMs) {
    proofs.clear();
    validFromMs = nowMs;
  }
}
