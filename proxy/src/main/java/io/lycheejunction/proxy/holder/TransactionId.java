package io.lycheejunction.proxy.holder;

import java.util.Objects;

/**
 * Identifies an open transaction to every proxy.
 *
 * @param id the holder's VM name, a colon, and an unguessable part
 */
public record TransactionId(String id) {
  /** Rejects a null identifier. */
  public TransactionId {
    Objects.requireNonNull(id, "id is null");
  }

  /**
   * Returns the name of the VM whose proxy holds the transaction's connection.
   *
   * @return the name, or the empty string if the identifier is malformed
   */
  public String holder() {
    int colon = id.lastIndexOf(':');
    return colon < 0 ? "" : id.substring(0, colon);
  }
}
