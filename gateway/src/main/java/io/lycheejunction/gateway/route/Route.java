package io.lycheejunction.gateway.route;

import java.util.Objects;

/**
 * How the statements of a database are handled.
 *
 * @param database the name that callers ask for
 * @param service the service that runs the statements
 * @param readRule what reads must see
 * @param statementTimeoutMs the time limit of one statement, in milliseconds
 * @param latencyObjectiveMs the objective of a whole operation, in milliseconds
 * @param priority 0 is the most urgent
 */
public record Route(
    String database,
    String service,
    ReadRule readRule,
    long statementTimeoutMs,
    long latencyObjectiveMs,
    int priority) {
  /** Rejects null components. */
  public Route {
    Objects.requireNonNull(database, "database is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(readRule, "readRule is null");
  }
}
