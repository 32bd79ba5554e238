package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;

/**
 * The outcome of an idempotency key that a majority of the group has received.
 *
 * @param state the state of the key in the ledger
 * @param rows the recorded result rows; empty unless the state is {@code RECORDED}
 * @param position the log position of the key's ledger row, or of the look-up that found none
 */
public record KeyAnswer(State state, List<String> rows, LogPosition position) {

  /** The state of a key in the ledger. */
  public enum State {
    /** The key's statement or transaction is committed. */
    RECORDED,
    /** The key is cancelled; its statement has not run and will not run. */
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
