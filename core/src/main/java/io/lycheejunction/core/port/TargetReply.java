package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;

/** What became of a statement that was given to a target. */
public sealed interface TargetReply {

  /**
   * The statement ran, or its key had been recorded before.
   *
   * @param rows the whole answer, in order
   * @param position for a write, the log position of its commit; for a read, the applied position
   *     that it saw
   * @param replayed true if the rows come from an earlier run under the same key
   */
  record Answered(List<String> rows, LogPosition position, boolean replayed)
      implements TargetReply {
    /** Copies the rows. */
    public Answered {
      rows = List.copyOf(rows);
      Objects.requireNonNull(position, "position is null");
    }
  }

  /**
   * The statement has not run: the target refused it, or it was never sent.
   *
   * @param fault the reason; its outcome is "refused, not run"
   */
  record NotRun(Fault fault) implements TargetReply {
    /** Rejects a fault that does not prove that the statement has not run. */
    public NotRun {
      Objects.requireNonNull(fault, "fault is null");
      if (!fault.isNotRun()) {
        throw new IllegalArgumentException("fault does not prove a statement not run");
      }
    }
  }

  /**
   * The statement was sent and no usable answer came.
   *
   * @param detail one line for a person
   */
  record Unknown(String detail) implements TargetReply {
    /** Rejects a null detail. */
    public Unknown {
      Objects.requireNonNull(detail, "detail is null");
    }
  }
}
