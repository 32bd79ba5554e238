package io.lycheejunction.gateway.failover;

import java.util.function.Consumer;

/** Asks other VMs directly, without the platform's store. */
public interface Peers {

  /** What came of a question. */
  sealed interface Answer {

    /**
     * The VM said what it sees.
     *
     * @param vote its vote, which may be about another primary
     */
    record Voted(Vote vote) implements Answer {}

    /** The VM is there, and no process of ours listens on it. */
    record Absent() implements Answer {}

    /** Nothing was heard of the VM in time, or it could not tell yet. */
    record Silent() implements Answer {}
  }

  /**
   * Asks a VM whether it reaches a primary.
   *
   * @param vm the name of the VM
   * @param service the service
   * @param primary the identifier of the primary
   * @param done is told once what came of it
   */
  void ask(String vm, String service, String primary, Consumer<Answer> done);
}
