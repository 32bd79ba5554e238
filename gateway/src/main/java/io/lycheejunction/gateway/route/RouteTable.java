package io.lycheejunction.gateway.route;

import io.lycheejunction.gateway.organisation.Organisations;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param version the version; a higher one replaces a lower one
 * @param revision the revision of the store in which it was written
 * @param routes the routes, keyed by database name
 * @param services the limits, keyed by service
 * @param idleTransactionMs the idle timeout of transactions, in milliseconds; 0 disables it
 * @param organisations the organisations of callers; empty if callers need no key
 */
public record RouteTable(
    long version,
    long revision,
    Map<String, Route> routes,
    Map<String, ServiceLimits> services,
    long idleTransactionMs,
    Organisations organisations) {
  private static final RouteTable EMPTY = new RouteTable(-1, -1, Map.of(), Map.of(), 0);

  /** Copies the maps and rejects null components. */
  public RouteTable {
    routes = Map.copyOf(routes);
    services = Map.copyOf(services);
    Objects.requireNonNull(organisations, "organisations is null");
  }

  /**
   * Creates the configuration of a deployment without organisations.
   *
   * @param version the version; a higher one replaces a lower one
   * @param revision the revision of the store in which it was written
   * @param routes the routes, keyed by database name
   * @param services the limits, keyed by service
   * @param idleTransactionMs the idle timeout of transactions, in milliseconds; 0 disables it
   */
  public RouteTable(
      long version,
      long revision,
      Map<String, Route> routes,
      Map<String, ServiceLimits> services,
      long idleTransactionMs) {
    this(version, revision, routes, services, idleTransactionMs, Organisations.empty());
  }

  /**
   * Returns the table that applies before any configuration is known.
   *
   * @return the empty table
   */
  public static RouteTable empty() {
    return EMPTY;
  }

  /**
   * Returns whether no configuration is known yet.
   *
   * @return true if this is the empty table
   */
  public boolean isEmpty() {
    return version < 0;
  }

  /**
   * Returns whether this configuration takes the place of another one.
   *
   * <p>A lower version never does, also if it was written later. Of equal versions with different
   * content, the one that was written later does: a restore of the store may lose a version, which
   * is then written again with other content.
   *
   * @param current the other configuration
   * @return true if this one is newer
   */
  public boolean replaces(RouteTable current) {
    if (version != current.version) {
      return version > current.version;
    }
    return revision > current.revision && !hasContentOf(current);
  }

  /**
   * Returns whether another configuration has the same version and content, wherever it was read.
   *
   * @param other the other configuration
   * @return true if the two differ in nothing but the revision
   */
  public boolean isSameAs(RouteTable other) {
    return version == other.version && hasContentOf(other);
  }

  private boolean hasContentOf(RouteTable other) {
    return routes.equals(other.routes)
        && services.equals(other.services)
        && idleTransactionMs == other.idleTransactionMs
        && organisations.equals(other.organisations);
  }

  /**
   * Returns the longest time limit of one statement on any route.
   *
   * @return the time limit, in milliseconds, or 0 if there are no routes
   */
  public long longestStatementTimeoutMs() {
    return routes.values().stream().mapToLong(Route::statementTimeoutMs).max().orElse(0);
  }

  /**
   * Returns the route of a database.
   *
   * @param database the database name that the caller asked for
   * @return the route, or empty if there is none
   */
  public Optional<Route> routeOf(String database) {
    return Optional.ofNullable(routes.get(database));
  }
}
