package io.lycheejunction.core.access;

import java.util.Objects;

/** The requests that a credential allows. */
public sealed interface Scope {
  /** The name that stands for all services. */
  String ALL_SERVICES = "*";

  /**
   * Requests of a caller to a service.
   *
   * @param service the name of the service, or {@link #ALL_SERVICES}
   */
  record Caller(String service) implements Scope {
    /** Rejects a null name. */
    public Caller {
      Objects.requireNonNull(service, "service is null");
    }
  }

  /** Operator statements that only read, and metrics. */
  record OperatorRead() implements Scope {}

  /** All operator statements, and metrics. */
  record OperatorChange() implements Scope {}

  /** Messages between proxies. */
  record Peer() implements Scope {}

  /**
   * Returns whether the scope satisfies a need.
   *
   * @param required the access that the request needs
   * @return true if the scope allows the request
   */
  default boolean allows(RequiredAccess required) {
    return switch (required) {
      case RequiredAccess.Public() -> true;
      case RequiredAccess.Caller(String requested) ->
          this instanceof Caller(String service)
              && (service.equals(ALL_SERVICES) || service.equals(requested));
      case RequiredAccess.OperatorRead() ->
          this instanceof OperatorRead || this instanceof OperatorChange;
      case RequiredAccess.OperatorChange() -> this instanceof OperatorChange;
      case RequiredAccess.Peer() -> this instanceof Peer;
      case RequiredAccess.UnservedPath() -> false;
    };
  }
}
