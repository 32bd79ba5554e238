package io.lycheejunction.gateway.lease;

import io.lycheejunction.gateway.peer.PeerAnswer;
import java.util.function.Consumer;

/** Requests leases and their release from other VMs. */
public interface LeaseClient {

  /**
   * Requests the leases on all primaries from another VM.
   *
   * @param vm the name of the VM
   * @param done is called once with the result
   */
  void renew(String vm, Consumer<PeerAnswer<LeaseReply>> done);

  /**
   * Asks another VM to release a primary.
   *
   * @param vm the name of the VM
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if none is known
   * @param done is called once with the result
   */
  void release(String vm, String service, String primary, Consumer<PeerAnswer<ReleaseReply>> done);

  /**
   * Tells another VM that a primary is not replaced, so that it may be used again. The VM finds out
   * by itself if it does not receive this.
   *
   * @param vm the name of the VM
   * @param service the service
   */
  void resume(String vm, String service);
}
