package io.lycheejunction.bench.failover;

import java.util.List;
import java.util.Objects;

/**
 * The database sizes and network delays of an example organisation.
 *
 * @param name the name that the {@code user} setting and the output use
 * @param domains the names of the failure domains
 * @param delayMs the one-way network delay between failure domains, in milliseconds
 * @param slots the number of statements that a target runs concurrently
 * @param connections the maximum number of sessions of a target
 * @param connectMs the time to establish a session, in milliseconds
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
