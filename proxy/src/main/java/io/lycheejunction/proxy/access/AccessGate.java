package io.lycheejunction.proxy.access;

import io.lycheejunction.core.access.AccessKeys;
import io.lycheejunction.core.access.RequiredAccess;
import io.lycheejunction.core.result.Fault;
import java.util.Objects;
import java.util.Optional;

/** Checks whether a request's credential allows the request. */
public final class AccessGate {
  private final Optional<AccessKeys> accessKeys;

  private AccessGate(Optional<AccessKeys> accessKeys) {
    this.accessKeys = accessKeys;
  }

  /**
   * Returns a gate that requires credentials.
   *
   * @param accessKeys the accepted keys and what each allows
   * @return the gate
   */
  public static AccessGate of(AccessKeys accessKeys) {
    return new AccessGate(Optional.of(Objects.requireNonNull(accessKeys, "accessKeys is null")));
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
   * @param required the permission that the request needs
   * @return the fault, empty if the request is allowed
   */
  public Optional<Fault> refusal(Optional<String> authorization, RequiredAccess required) {
    return accessKeys.flatMap(keys -> keys.refusal(authorization, required));
  }
}
