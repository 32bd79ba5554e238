package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The answer of a target's holder to a statement that ran.
 *
 * @param rows all result rows, in order
 * @param position the log position of the commit for a write, that of the data for a read
 * @param replayed true if the rows were recorded by an earlier run with the same idempotency key
 * @param target the target that answered
 * @param ageMs the proven upper bound of the data's age, in milliseconds; empty if none is proven
 * @param queued the number of statements that wait for the target, a hint for routing
 * @param view the holder's view of the group's term and primary
 */
public record HolderAnswer(
    List<String> rows,
    LogPosition position,
    boolean replayed,
    String target,
    Optional<Long> ageMs,
    int queued,
    GroupView view) {
  /** Copies the rows and rejects null components. */
  public HolderAnswer {
    rows = List.copyOf(rows);
    Objects.requireNonNull(position, "position is null");
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(ageMs, "ageMs is null");
    Objects.requireNonNull(view, "view is null");
  }
}
