package io.lycheejunction.core.group;

import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The bounded history of a primary's confirmed positions, from which the age of data is proven.
 *
 * @param entries the confirmed positions, oldest first
 * @param lasting for each earlier term, the last position known to be received by a majority in it
 */
public record Evidence(List<Entry> entries, TreeMap<Long, LogPosition> lasting) {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_TERMS = 8;
  private static final Evidence EMPTY = new Evidence(List.of(), new TreeMap<>());

  /**
   * One position of the primary, confirmed together with its term.
   *
   * @param startMs the monotonic time at which the round started, in milliseconds
   * @param position the primary's last position as answered in the round
   */
  public record Entry(long startMs, LogPosition position) {
    /** Rejects a null position. */
    public Entry {
      Objects.requireNonNull(position, "position is null");
    }
  }

  /** Copies the collections. */
  public Evidence {
    entries = List.copyOf(entries);
    lasting = new TreeMap<>(lasting);
  }

  /**
   * Returns a copy of the positions by term.
   *
   * @return the copy
   */
  @Override
  public TreeMap<Long, LogPosition> lasting() {
    return new TreeMap<>(lasting);
  }

  /**
   * Returns the history without entries.
   *
   * @return the empty history
   */
  public static Evidence empty() {
    return EMPTY;
  }

  /**
   * Returns the history with one more round.
   *
   * <p>A round that proves no more than the last entry is left out. When the history is full, every
   * second entry of its older half is dropped, which can only raise a proven age.
   *
   * @param startMs the monotonic time at which the round started, in milliseconds
   * @param position the primary's last position
   * @param received the last position that a majority has received in the term
   * @return the new history
   */
  public Evidence with(long startMs, LogPosition position, LogPosition received) {
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
    return new Evidence(thin(next), lasting).withReceived(received);
  }

  private Evidence withReceived(LogPosition received) {
    if (received.equals(LogPosition.ORIGIN)) {
      return this;
    }
    TreeMap<Long, LogPosition> terms = new TreeMap<>(lasting);
    terms.merge(received.term(), received, LogPosition::max);
    while (terms.size() > MAX_TERMS) {
      terms.pollFirstEntry();
    }
    return new Evidence(entries, terms);
  }

  private static List<Entry> thin(List<Entry> full) {
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
   * Returns the proven upper bound of the age of data that includes the position.
   *
   * <p>Data of a replaced term proves nothing beyond what a majority had received in that term,
   * since the rest may have been discarded.
   *
   * @param applied the position
   * @param nowMs the monotonic time, in milliseconds
   * @return the age in milliseconds, or empty if nothing proves one
   */
  public OptionalLong ageMs(LogPosition applied, long nowMs) {
    if (entries.isEmpty() || isDoubtful(applied)) {
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

  private boolean isDoubtful(LogPosition applied) {
    if (applied.term() >= entries.getLast().position().term()) {
      return false;
    }
    LogPosition last = lasting.get(applied.term());
    return last == null || !last.isAtLeast(applied);
  }
}
