package io.lycheejunction.gateway.link;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.target.Target;
import java.util.Optional;

/** Opens connections to targets. */
public interface TargetLinks {

  /** Is told what happens on a connection. */
  interface Listener {

    /**
     * Is called once when the target has accepted the connection.
     *
     * @param reply the target's greeting
     */
    void opened(LinkReply reply);

    /**
     * Is called for each answer.
     *
     * @param reply the answer to the oldest command that has none yet
     */
    void replied(LinkReply reply);

    /**
     * Is called once when the connection has ended or could not be opened, with whatever was not
     * answered lost.
     *
     * @param cause why
     */
    void closed(Fault cause);
  }

  /**
   * Starts to open a connection.
   *
   * @param target the target, which must identify itself as this one
   * @param listener is told what happens
   * @return the connection, which accepts commands once it is opened
   */
  TargetLink open(Target target, Listener listener);

  /**
   * Returns what the answer to {@link TargetCommand.AskStatus} says.
   *
   * @param reply the answer
   * @return the report, or empty if the answer is none
   */
  Optional<StatusReport> statusOf(LinkReply reply);
}
