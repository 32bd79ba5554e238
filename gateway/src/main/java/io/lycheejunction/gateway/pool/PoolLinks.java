package io.lycheejunction.gateway.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** All connections of a pool, by what they are used for. */
final class PoolLinks {
  /**
   * How long a connection that is in use counts as free soon, in milliseconds. One that is in use
   * for longer probably belongs to a transaction, which may stay open for seconds.
   */
  static final long FREE_SOON_MS = 100;

  private final OrganisationRule rule;
  private final IdleLinks idle;
  private final Set<PooledLink> busy = new HashSet<>();

  /** Connections that are being opened, or were released before all commands were answered. */
  private final Set<PooledLink> notReady = new HashSet<>();

  PoolLinks(OrganisationRule rule) {
    this.rule = rule;
    this.idle = new IdleLinks(rule);
  }

  IdleLinks idle() {
    return idle;
  }

  Set<PooledLink> busy() {
    return busy;
  }

  Set<PooledLink> notReady() {
    return notReady;
  }

  int count() {
    return idle.size() + busy.size() + notReady.size();
  }

  /**
   * Returns the connections that are being opened or idle. An idle one fits a waiting request only
   * while the limit on the statements in progress leaves no room.
   */
  List<PooledLink> comingOrIdle() {
    return Stream.concat(notReady.stream().filter(link -> !link.isOpen()), idle.all().stream())
        .toList();
  }

  Set<String> organisations() {
    return all().flatMap(link -> link.organisation().stream()).collect(Collectors.toSet());
  }

  /** Returns whether there is a connection that was opened for an organisation, or for none. */
  boolean hasAnyOf(Optional<String> organisation) {
    return all().anyMatch(link -> link.organisation().equals(organisation));
  }

  /** Returns whether a connection that isn't idle will probably soon be free for a request. */
  boolean isServedSoon(LinkRequest request, long nowMs) {
    return notReady.stream().anyMatch(link -> rule.fits(link, request))
        || busy.stream()
            .anyMatch(
                link -> nowMs - link.busySinceMs() < FREE_SOON_MS && rule.fits(link, request));
  }

  /**
   * Returns the idle connection to close so that one can be opened for a request: the one that has
   * been idle longest, of those whose organisation has further ones if there are any.
   *
   * <p>The only connection of an organisation is not closed for a request of another one that will
   * soon get a connection of its own organisation. Otherwise an organisation with many statements
   * at a time takes the connections of those with few, whose next statements then need new ones.
   */
  Optional<PooledLink> evictableFor(LinkRequest request, long nowMs) {
    Map<Optional<String>, Long> counts =
        all().collect(Collectors.groupingBy(PooledLink::organisation, Collectors.counting()));
    Optional<PooledLink> surplus =
        idle.leastRecentlyUsed(link -> counts.get(link.organisation()) > 1);
    if (surplus.isPresent() || isServedSoon(request, nowMs)) {
      return surplus;
    }
    return idle.leastRecentlyUsed(link -> true);
  }

  private Stream<PooledLink> all() {
    return Stream.of(idle.all(), busy, notReady).flatMap(Collection::stream);
  }
}
