package io.lycheejunction.gateway.lease;

import java.util.List;

/**
 * A VM's reply to a request to renew the leases on all primaries.
 *
 * @param primaries the primaries that the VM knows, with the leases that it grants
 */
public record LeaseReply(List<KnownPrimary> primaries) {
  /** Copies the list. */
  public LeaseReply {
    primaries = List.copyOf(primaries);
  }
}
