package io.lycheejunction.gateway.lease;

/** Answers other VMs that are about to replace a primary. */
public interface ReleaseHandler {

  /**
   * Stops using a primary that another VM is about to replace, unless this VM reaches it.
   *
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if the other VM knows none
   * @param requester the name of the other VM
   * @return whether the primary is released, and the leases on it that are still valid
   */
  ReleaseReply release(String service, String primary, String requester);

  /**
   * Uses a primary again that was released for a replacement which does not take place.
   *
   * @param service the service
   * @param requester the name of the VM that the primary was released for
   */
  void resume(String service, String requester);
}
