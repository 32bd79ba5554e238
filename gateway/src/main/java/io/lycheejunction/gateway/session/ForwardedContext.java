package io.lycheejunction.gateway.session;

import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;

/**
 * The context that a VM sends with a forwarded statement.
 *
 * @param organisation the organisation of the caller, or empty if it has none
 * @param route the route of the statement in the configuration of the forwarding VM
 * @param sessionCommit the log position of the session's latest commit, or empty if the read rule
 *     does not need it
 */
public record ForwardedContext(
    Optional<String> organisation, Route route, Optional<LogPosition> sessionCommit) {
  /** Rejects null components. */
  public ForwardedContext {
    Objects.requireNonNull(organisation, "organisation is null");
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(sessionCommit, "sessionCommit is null");
  }
}
