package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The requests that wait for a connection, in order of priority and arrival. */
final class LinkQueue {
  private final OrganisationRule rule;
  private final List<LinkRequest> requests = new ArrayList<>();

  LinkQueue(OrganisationRule rule) {
    this.rule = rule;
  }

  int size() {
    return requests.size();
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  boolean startsWithProbe() {
    return !requests.isEmpty() && requests.getFirst().priority() == LinkRequest.INTERNAL_PRIORITY;
  }

  void add(LinkRequest request) {
    int index = requests.size();
    while (index > 0 && requests.get(index - 1).priority() > request.priority()) {
      index--;
    }
    requests.add(index, request);
  }

  boolean contains(LinkRequest request) {
    return requests.contains(request);
  }

  boolean remove(LinkRequest request) {
    return requests.remove(request);
  }

  List<LinkRequest> all() {
    return List.copyOf(requests);
  }

  void refuseAll(Fault fault) {
    List<LinkRequest> refused = all();
    requests.clear();
    refused.forEach(request -> request.refused(fault));
  }

  /** Returns the number of requests that are served before a request that arrives now. */
  int countBefore(LinkRequest arriving) {
    return (int) requests.stream().filter(r -> r.priority() <= arriving.priority()).count();
  }

  /** Refuses the requests whose deadline has passed. */
  void refuseExpired(long nowMs, String targetId) {
    for (LinkRequest request : all()) {
      if (request.deadlineMs() <= nowMs && requests.remove(request)) {
        request.refused(
            Fault.of(
                ResultCode.DEADLINE_EXCEEDED,
                "timed out while waiting for a connection to " + targetId));
      }
    }
  }

  /**
   * Returns the request whose turn it is when a connection becomes free: the first that the
   * connection fits, or an earlier one that no other connection will serve soon.
   *
   * <p>Requests that will soon get a connection of their own organisation are passed over.
   * Otherwise, with many waiting requests of several organisations, nearly each statement would
   * need a new connection.
   *
   * @param freed the free connection
   * @param isServedSoon tells whether another connection will soon serve a request
   */
  Optional<LinkRequest> nextFor(PooledLink freed, Predicate<LinkRequest> isServedSoon) {
    for (LinkRequest request : requests) {
      if (rule.fits(freed, request) || !isServedSoon.test(request)) {
        return Optional.of(request);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the first request for which none of the connections that are being opened or idle is
   * left.
   *
   * @param count the number of requests to consider, from the first
   * @param coming the connections that are being opened or idle, each of which serves one request
   */
  Optional<LinkRequest> firstWithoutLink(int count, Collection<PooledLink> coming) {
    List<PooledLink> left = new ArrayList<>(coming);
    for (LinkRequest request : requests.subList(0, Math.min(count, requests.size()))) {
      Optional<PooledLink> own = left.stream().filter(link -> rule.fits(link, request)).findFirst();
      if (own.isEmpty()) {
        return Optional.of(request);
      }
      left.remove(own.get());
    }
    return Optional.empty();
  }
}
