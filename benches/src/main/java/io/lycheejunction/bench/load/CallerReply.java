package io.lycheejunction.bench.load;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The result of a caller's request to a proxy. */
public sealed interface CallerReply {

  /**
   * A complete answer from the proxy.
   *
   * @param code the numeric result code
   * @param outcome {@code done}, {@code refused-not-run} or {@code outcome-unknown}
   * @param rows the rows as JSON text
   * @param token the new session token, if any
   * @param target the name of the target that ran the statement, empty if none
   * @param detail the reason for a refusal, empty if there is none
   */
  record Answer(
      int code,
      String outcome,
      List<String> rows,
      Optional<String> token,
      String target,
      String detail)
      implements CallerReply {
    /** Rejects a null outcome and copies the rows. */
    public Answer {
      Objects.requireNonNull(outcome, "outcome is null");
      rows = List.copyOf(rows);
    }

    /**
     * Returns whether the statement ran and its result is complete.
     *
     * @return true if the outcome is {@code done}
     */
    public boolean isDone() {
      return outcome.equals("done");
    }

    /**
     * Returns whether the proxy refused the statement without running it.
     *
     * @return true if the outcome is {@code refused-not-run}
     */
    public boolean isNotRun() {
      return outcome.equals("refused-not-run");
    }
  }

  /** The request was not sent, for instance because the proxy refused the connection. */
  record NotSent() implements CallerReply {}

  /**
   * No complete and well-formed answer was received; the request may have reached the proxy.
   *
   * @param detail a one-line description of the failure for error output
   */
  record Incomplete(String detail) implements CallerReply {}
}
