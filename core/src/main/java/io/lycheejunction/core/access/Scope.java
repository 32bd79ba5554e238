package io.lycheejunction.core.access;

import java.util.Objects;

/** What a credential allows. */
public sealed interface Scope {
  /** The name that stands for all services. */
  String ALL_SERVICES = "*";

  /**
   * Requests of callers to a service.
   *
   * @param service the name of the service, or {@link #ALL_SERVICES}
   */
  record Caller(String service) implements Scope {
    /** Rejects a null name. */
    public Caller {
      Objects.requireNonNull(service, "service is null");
    }
  }

  /** Statements of operators that show. */
  record OperatorRead() implements Scope {}

  /** Statements of operators that show or change. */
  record OperatorChange() implements Scope {}

  /** Messages between proxies. */
  record Peer() implements Scope {}

  /**
   * Returns whether the scope satisfies a need.
   *
   * @param need what the request needs
   * @return true if it does
   */
  default boolean allows(Need need) {
    return switch (need) {
      case Need.Open() -> true;
      case Need.Caller(String wanted) ->
          this instanceof Caller(String service)
              && (service.equals(ALL_SERVICES) || service.equals(wanted));
      case Need.OperatorRead() -> this instanceof OperatorRead || this instanceof OperatorChange;
      case Need.OperatorChange() -> this instanceof OperatorChange;
      case Need.Peer() -> this instanceof Peer;
      case Need.Unknown() -> false;
    };
  }
}
