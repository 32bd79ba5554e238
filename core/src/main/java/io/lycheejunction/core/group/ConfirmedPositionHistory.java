package io.lycheejunction.core.group;

import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The bounded history of a primary's confirmed positions, which proves upper bounds for the age of
 * a replica's data.
 *
 * @param entries the confirmed positions, oldest first
 * @param majorityReceived the last position known to be received by a majority, by its term
 */
public record ConfirmedPositionHistory(
    List<Entry> entries, TreeMap<Long, LogPosition> majorityReceived) {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_TERMS = 8;
  private static final ConfirmedPositionHistory EMPTY =
      new ConfirmedPositionHistory(List.of(), new TreeMap<>());

  /**
   * One position of the primary, confirmed together with its term.
   *
   * @param startMs the monotonic time at which the confirming round started, in milliseconds
   * @param position the last position that the primary reported in the round
   */
  public record Entry(long startMs, LogPosition position) {
    /** Rejects a null position. */
    public Entry {
      Objects.requireNonNull(position, "position is null");
    }
  }

  /** Copies the collections. */
  public ConfirmedPositionHistory {
    entries = List.copyOf(entries);
    majorityReceived = new TreeMap<>(majorityReceived);
  }

  /**
   * Returns a copy, since the map is mutable.
   *
   * @return the last position known to be received by a majority, by its term
   */
  @Override
  public TreeMap<Long, LogPosition> majorityReceived() {
    return new TreeMap<>(majorityReceived);
  }

  /**
   * Returns the history without entries.
   *
   * @return the empty history
   */
  public static ConfirmedPositionHistory empty() {
    return EMPTY;
  }

  /**
   * Returns the history with one more round.
   *
   * <p>A round that proves no more than the last entry adds none. When the history is full, every
   * second entry of its older half is removed, which can only raise a proven age.
   *
   * @param startMs the monotonic time at which the round started, in milliseconds
   * @param position the last position that the primary reported
   * @param received the last position that a majority has received in the term, or {@code ORIGIN}
   * @return the new history
   */
  public ConfirmedPositionHistory with(long startMs, LogPosition position, LogPosition received) {
    List<Entry> next = new ArrayList<>(entries);
    if (!next.isEmpty()) {
      Entry last = next.getLast();
      if (startMs <= last.startMs() || !position.isAtLeast(last.position())) {
        return withReceived(received);
      }
      if (position.equals(last.position())) {
        next.removeLast();
      }
    }
    next.add(new Entry(startMs, position));
    return new ConfirmedPositionHistory(downsample(next), majorityReceived).withReceived(received);
  }

  private ConfirmedPositionHistory withReceived(LogPosition received) {
    if (received.equals(LogPosition.ORIGIN)) {
      return this;
    }
    TreeMap<Long, LogPosition> byTerm = new TreeMap<>(majorityReceived);
    byTerm.merge(received.term(), received, LogPosition::max);
    while (byTerm.size() > MAX_TERMS) {
      byTerm.pollFirstEntry();
    }
    return new ConfirmedPositionHistory(entries, byTerm);
  }

  private static List<Entry> downsample(List<Entry> full) {
    if (full.size() <= MAX_ENTRIES) {
      return full;
    }
    List<Entry> kept = new ArrayList<>();
    for (int i = 0; i < full.size(); i++) {
      if (i >= MAX_ENTRIES / 2 || i % 2 == 0) {
        kept.add(full.get(i));
      }
    }
    return kept;
  }

  /**
   * Returns a proven upper bound for the age of data that includes the position.
   *
   * <p>Nothing is proven for a position of an earlier term that no majority received in that term,
   * since a promotion may have discarded it.
   *
   * @param applied the last position that the data includes
   * @param nowMs the monotonic time, in milliseconds
   * @return the bound in milliseconds, or empty if none is proven
   */
  public OptionalLong ageMs(LogPosition applied, long nowMs) {
    if (entries.isEmpty() || mayBeDiscarded(applied)) {
      return OptionalLong.empty();
    }
    for (int i = entries.size() - 1; i >= 0; i--) {
      Entry entry = entries.get(i);
      if (applied.isAtLeast(entry.position())) {
        return OptionalLong.of(nowMs - entry.startMs());
      }
    }
    return OptionalLong.empty();
  }

  private boolean mayBeDiscarded(LogPosition applied) {
    if (applied.term() >= entries.getLast().position().term()) {
      return false;
    }
    LogPosition last = majorityReceived.get(applied.term());
    return last == null || !last.isAtLeast(applied);
  }
}
