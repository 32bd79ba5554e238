package io.lycheejunction.bench.failover;

import java.util.List;
import java.util.Objects;

/**
 * The sizes of one user's databases.
 *
 * @param name the name of the user
 * @param domains the failure domains
 * @param delayMs the time of one way between failure domains, in milliseconds
 * @param slots the statements that an instance runs at once
 * @param connections the sessions that an instance allows
 * @param connectMs the time to set up a session, in milliseconds
 */
record User(
    String name, List<String> domains, long delayMs, int slots, int connections, long connectMs) {
  static final User OKONKWO = new User("okonkwo", List.of("ikeja", "lekki", "apapa"), 3, 3, 20, 10);
  static final User HOKUYO =
      new User("hokuyo", List.of("sapporo", "asahikawa", "hakodate"), 5, 5, 55, 30);

  User {
    Objects.requireNonNull(name, "name is null");
    domains = List.copyOf(domains);
  }
}
