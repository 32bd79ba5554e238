package io.lycheejunction.gateway.session;

import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;

/**
 * What a VM that forwards a statement says of it.
 *
 * @param route the route in force for it there
 * @param sessionCommit the latest commit of its session; empty if it does not matter
 */
public record Forwarded(Route route, Optional<LogPosition> sessionCommit) {
  /** Rejects null components. */
  public Forwarded {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(sessionCommit, "sessionCommit is null");
  }
}
