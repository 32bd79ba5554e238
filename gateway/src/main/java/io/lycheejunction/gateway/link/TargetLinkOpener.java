package io.lycheejunction.gateway.link;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.target.Target;
import java.util.Optional;

/** Opens connections to targets. */
public interface TargetLinkOpener {

  /** Receives the events of a connection. */
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
     * Is called once when the connection has closed or could not be opened. Commands that have no
     * answer by then get none.
     *
     * @param cause the reason
     */
    void closed(Fault cause);
  }

  /**
   * Starts to open a connection.
   *
   * @param target the target, which must identify itself as this one
   * @param organisation the organisation whose statements the connection carries, which the target
   *     is told; empty where the deployment has none
   * @param listener receives the events of the connection
   * @return the connection, which accepts commands once it is open
   */
  TargetLink open(Target target, Optional<String> organisation, Listener listener);

  /**
   * Returns whether each connection carries the statements of one organisation only. Connections
   * between VMs carry those of all, since each forwarded statement names its organisation.
   *
   * @return true if so
   */
  boolean isPerOrganisation();

  /**
   * Returns the status in an answer to {@link TargetCommand.AskStatus}.
   *
   * @param reply the answer
   * @return the status, or empty if the answer contains none
   */
  Optional<StatusReport> statusOf(LinkReply reply);
}
