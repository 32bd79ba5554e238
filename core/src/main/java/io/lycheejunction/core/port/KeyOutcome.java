package io.lycheejunction.core.port;

import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;

/** The outcome that the ledger of a group records for an idempotency key. */
public sealed interface KeyOutcome {

  /**
   * The statement or transaction with the key has been committed.
   *
   * @param position the log position of the commit
   * @param rows the result rows that were recorded with the commit
   */
  record Recorded(LogPosition position, List<String> rows) implements KeyOutcome {
    /** Copies the rows. */
    public Recorded {
      Objects.requireNonNull(position, "position is null");
      rows = List.copyOf(rows);
    }
  }

  /**
   * The key is cancelled: no statement has run or can run with it.
   *
   * @param position the log position of the cancel row
   */
  record Cancelled(LogPosition position) implements KeyOutcome {
    /** Rejects a null position. */
    public Cancelled {
      Objects.requireNonNull(position, "position is null");
    }
  }

  /**
   * The ledger has no row for the key.
   *
   * @param position the log position up to which the ledger was searched
   */
  record Absent(LogPosition position) implements KeyOutcome {
    /** Rejects a null position. */
    public Absent {
      Objects.requireNonNull(position, "position is null");
    }
  }
}
