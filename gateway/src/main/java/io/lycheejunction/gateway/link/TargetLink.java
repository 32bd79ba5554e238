package io.lycheejunction.gateway.link;

import java.util.List;

/** A connection to a target; commands are answered in the order in which they were sent. */
public interface TargetLink {

  /**
   * Sends commands in one write.
   *
   * @param commands the commands, in the order in which the target runs them
   */
  void send(List<TargetCommand> commands);

  /** Closes the connection; the target rolls back a transaction that is open on it. */
  void close();
}
