package io.lycheejunction.gateway.route;

import java.util.Objects;

/**
 * The service and the rules for the statements of a database.
 *
 * @param database the database name that callers connect to
 * @param service the service that runs the statements
 * @param readRule the commits that reads must observe
 * @param statementTimeoutMs the time limit of one statement, in milliseconds
 * @param latencyObjectiveMs the latency objective of a whole operation, in milliseconds
 * @param priority the scheduling priority; 0 is the most urgent
 * @param keyRequired true if callers must present the key of an organisation
 */
public record Route(
    String database,
    String service,
    ReadRule readRule,
    long statementTimeoutMs,
    long latencyObjectiveMs,
    int priority,
    boolean keyRequired) {
  /** Rejects null components. */
  public Route {
    Objects.requireNonNull(database, "database is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(readRule, "readRule is null");
  }

  /**
   * Creates a route whose callers need no key.
   *
   * @param database the database name that callers connect to
   * @param service the service that runs the statements
   * @param readRule the commits that reads must observe
   * @param statementTimeoutMs the time limit of one statement, in milliseconds
   * @param latencyObjectiveMs the latency objective of a whole operation, in milliseconds
   * @param priority the scheduling priority; 0 is the most urgent
   */
  public Route(
      String database,
      String service,
      ReadRule readRule,
      long statementTimeoutMs,
      long latencyObjectiveMs,
      int priority) {
    this(database, service, readRule, statementTimeoutMs, latencyObjectiveMs, priority, false);
  }

  /**
   * Returns the route with another time limit of statements.
   *
   * @param timeoutMs the time limit, in milliseconds
   * @return the route
   */
  public Route withStatementTimeoutMs(long timeoutMs) {
    return new Route(
        database, service, readRule, timeoutMs, latencyObjectiveMs, priority, keyRequired);
  }
}
