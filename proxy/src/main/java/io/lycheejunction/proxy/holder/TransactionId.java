package io.lycheejunction.proxy.holder;

import java.util.Objects;

/**
 * The identifier of a transaction, which names the proxy that holds its connection.
 *
 * @param id the name of the holder's VM, a colon, and a random token that cannot be guessed
 */
public record TransactionId(String id) {
  /** Rejects a null identifier. */
  public TransactionId {
    Objects.requireNonNull(id, "id is null");
  }

  /**
   * Returns the name of the VM whose proxy holds the transaction's connection.
   *
   * @return the name, or the empty string if the identifier has no colon
   */
  public String holder() {
    int colon = id.lastIndexOf(':');
    return colon < 0 ? "" : id.substring(0, colon);
  }
}
