package io.lycheejunction.gateway.peer;

import java.util.Objects;

/**
 * The result of a request to another VM.
 *
 * @param <T> the type of the VM's reply
 */
public sealed interface PeerAnswer<T> {

  /**
   * The VM replied.
   *
   * @param value the reply
   * @param <T> the type of the reply
   */
  record Replied<T>(T value) implements PeerAnswer<T> {
    /** Rejects a null reply. */
    public Replied {
      Objects.requireNonNull(value, "value is null");
    }
  }

  /**
   * The connection was refused: no gateway process listens, or a firewall rejects the connection.
   *
   * @param <T> the type of the reply
   */
  record Absent<T>() implements PeerAnswer<T> {}

  /**
   * The VM did not answer in time, or cannot tell yet.
   *
   * @param <T> the type of the reply
   */
  record Silent<T>() implements PeerAnswer<T> {}
}
