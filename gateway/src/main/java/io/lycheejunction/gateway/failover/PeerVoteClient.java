package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.peer.PeerAnswer;
import java.util.function.Consumer;

/** Requests votes from other VMs directly, without the platform's store. */
public interface PeerVoteClient {

  /**
   * Requests a VM's vote on whether a primary is gone.
   *
   * @param vm the name of the VM
   * @param service the service
   * @param primary the identifier of the primary
   * @param done is called once with the result
   */
  void requestVote(String vm, String service, String primary, Consumer<PeerAnswer<Vote>> done);
}
