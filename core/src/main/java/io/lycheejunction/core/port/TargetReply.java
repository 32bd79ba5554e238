package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;

/** The outcome of a request to run a statement on a target. */
public sealed interface TargetReply {

  /**
   * The statement ran, or the answer recorded for its key was returned.
   *
   * @param rows all rows of the answer, in order
   * @param position for a write, the log position of its commit; for a read, the applied log
   *     position that it saw
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
   * The statement was not run: the target refused it, or it was never sent.
   *
   * @param fault the reason; its outcome is {@code REFUSED_NOT_RUN}
   */
  record NotRun(Fault fault) implements TargetReply {
    /** Rejects a fault that does not prove that the statement was not run. */
    public NotRun {
      Objects.requireNonNull(fault, "fault is null");
      if (!fault.isNotRun()) {
        throw new IllegalArgumentException("outcome of fault must be REFUSED_NOT_RUN");
      }
    }
  }

  /**
   * The statement was sent but no valid answer arrived.
   *
   * @param detail a one-line description for people
   */
  record Unknown(String detail) implements TargetReply {
    /** Rejects a null detail. */
    public Unknown {
      Objects.requireNonNull(detail, "detail is null");
    }
  }
}
