package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;

/**
 * What a majority of the group has received for an idempotency key.
 *
 * @param state what the ledger records
 * @param rows the recorded rows
 * @param position the position of the row, or of the search that found none
 */
public record KeyAnswer(State state, List<String> rows, LogPosition position) {

  /** What the ledger records for a key. */
  public enum State {
    /** The key's statement or transaction is committed. */
    RECORDED,
    /** The key is cancelled; nothing ran and nothing will. */
    CANCELLED,
    /** The ledger has no row for the key. */
    ABSENT
  }

  /** Copies the rows and rejects null components. */
  public KeyAnswer {
    Objects.requireNonNull(state, "state is null");
    rows = List.copyOf(rows);
    Objects.requireNonNull(position, "position is null");
  }
}
