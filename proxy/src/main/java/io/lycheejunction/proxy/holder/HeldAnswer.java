package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The answer of a holder to a statement that ran.
 *
 * @param rows the whole answer, in order
 * @param position the commit's position for a write, the position seen for a read
 * @param replayed true if the rows come from an earlier run under the same key
 * @param target the target that answered
 * @param ageMs the proven bound of the data's age, in milliseconds; empty if nothing proves one
 * @param queued the statements that wait for the target, a hint for routing
 * @param view what the holder knows of the group
 */
public record HeldAnswer(
    List<String> rows,
    LogPosition position,
    boolean replayed,
    String target,
    Optional<Long> ageMs,
    int queued,
    GroupView view) {
  /** Copies the rows and rejects null components. */
  public HeldAnswer {
    rows = List.copyOf(rows);
    Objects.requireNonNull(position, "position is null");
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(ageMs, "ageMs is null");
    Objects.requireNonNull(view, "view is null");
  }
}
