package io.lycheejunction.gateway.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The idle connections of a pool, the most recently used first. */
final class IdleLinks {
  /** Short, since VMs without an idle share take turns in using the target's connections. */
  static final long ZERO_SHARE_IDLE_TIMEOUT_MS = 300;

  private static final long IDLE_TIMEOUT_MS = 20_000;
  private static final long EXTRA_IDLE_TIMEOUT_MS = 2_000;

  private final OrganisationRule rule;
  private final Deque<PooledLink> links = new ArrayDeque<>();

  IdleLinks(OrganisationRule rule) {
    this.rule = rule;
  }

  int size() {
    return links.size();
  }

  boolean isEmpty() {
    return links.isEmpty();
  }

  void add(PooledLink link, long nowMs) {
    link.setIdleSince(nowMs);
    links.addFirst(link);
  }

  void remove(PooledLink link) {
    links.remove(link);
  }

  List<PooledLink> all() {
    return List.copyOf(links);
  }

  /** Returns the connection that has been idle longest, of those that match a condition. */
  Optional<PooledLink> leastRecentlyUsed(Predicate<PooledLink> condition) {
    return links.reversed().stream().filter(condition).findFirst();
  }

  /**
   * Removes and returns a connection that fits a request. One that is set up for its session is
   * preferred, then one of the same organisation or, for a request without one, of none.
   */
  Optional<PooledLink> take(LinkRequest request) {
    Optional<PooledLink> taken =
        first(link -> rule.fits(link, request) && link.isSetUpFor(request.session()))
            .or(() -> first(link -> link.organisation().equals(rule.requiredBy(request))))
            .or(() -> first(link -> rule.fits(link, request)));
    taken.ifPresent(links::remove);
    return taken;
  }

  /**
   * Returns the connections that have been idle too long. Those beyond the idle share close sooner,
   * except for those of an organisation: its next statement would probably need a new one.
   */
  List<PooledLink> expired(ConnectionShare share, long nowMs) {
    List<PooledLink> expired = new ArrayList<>();
    int index = 0;
    for (PooledLink link : links) {
      index++;
      boolean kept = index <= share.maxIdle() || link.organisation().isPresent();
      if (nowMs - link.idleSinceMs() >= idleLimitMs(kept, share)) {
        expired.add(link);
      }
    }
    return expired;
  }

  private static long idleLimitMs(boolean kept, ConnectionShare share) {
    if (share.maxIdle() == 0) {
      return ZERO_SHARE_IDLE_TIMEOUT_MS;
    }
    return kept ? IDLE_TIMEOUT_MS : EXTRA_IDLE_TIMEOUT_MS;
  }

  private Optional<PooledLink> first(Predicate<PooledLink> condition) {
    return links.stream().filter(condition).findFirst();
  }
}
