package io.lycheejunction.gateway.failover;

import java.util.function.Consumer;

/** Requests votes from other VMs directly, without the platform's store. */
public interface PeerVoteClient {

  /** The result of a request. */
  sealed interface Answer {

    /**
     * The VM returned its vote.
     *
     * @param vote its vote, which may be about another primary
     */
    record Voted(Vote vote) implements Answer {}

    /** The VM is up, but no gateway process listens on it. */
    record Absent() implements Answer {}

    /** The VM did not answer in time, or has no vote yet. */
    record Silent() implements Answer {}
  }

  /**
   * Requests a VM's vote on whether a primary is gone.
   *
   * @param vm the name of the VM
   * @param service the service
   * @param primary the identifier of the primary
   * @param done is called once with the result
   */
  void requestVote(String vm, String service, String primary, Consumer<Answer> done);
}
