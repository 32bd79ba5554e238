package io.lycheejunction.proxy.access;

import io.lycheejunction.core.access.Keyring;
import io.lycheejunction.core.access.Need;
import io.lycheejunction.core.result.Fault;
import java.util.Objects;
import java.util.Optional;

/** Checks whether a request's credential allows the request. */
public final class AccessGate {
  private final Optional<Keyring> keyring;

  private AccessGate(Optional<Keyring> keyring) {
    this.keyring = keyring;
  }

  /**
   * Returns a gate that requires credentials.
   *
   * @param keyring the accepted keys and what each allows
   * @return the gate
   */
  public static AccessGate of(Keyring keyring) {
    return new AccessGate(Optional.of(Objects.requireNonNull(keyring, "keyring is null")));
  }

  /**
   * Returns a gate that allows every request.
   *
   * @return the gate
   */
  public static AccessGate off() {
    return new AccessGate(Optional.empty());
  }

  /**
   * Returns why a request is not allowed.
   *
   * @param authorization the value of the request's {@code Authorization} header, if it has one
   * @param need the permission that the request needs
   * @return the fault, empty if the request is allowed
   */
  public Optional<Fault> refusal(Optional<String> authorization, Need need) {
    return keyring.flatMap(keys -> keys.refusal(authorization, need));
  }
}
