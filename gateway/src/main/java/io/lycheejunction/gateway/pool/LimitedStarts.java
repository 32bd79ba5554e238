package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Decides which requests of a pool may start under the limit on the statements in progress. Probes
 * of the gateway always may.
 *
 * @param pace the limit
 * @param scheduler the gateway's clock
 * @param links the connections of the pool
 * @param requests the requests that wait
 */
record LimitedStarts(TargetPace pace, Scheduler scheduler, PoolLinks links, LinkQueue requests) {

  boolean mayStart(LinkRequest request) {
    return isProbe(request) || pace.hasRoom();
  }

  /** Removes and returns an idle connection for a request, if the request may start. */
  Optional<PooledLink> takeIdle(LinkRequest request) {
    return mayStart(request) ? links.idle().take(request) : Optional.empty();
  }

  /** Refuses an arriving request that would have to wait too long; returns false if it may wait. */
  boolean refusesToWait(LinkRequest request, int connections) {
    if (isProbe(request) || !pace.isLimited()) {
      return false;
    }
    Optional<Fault> tooLong =
        pace.refusalOfWait(requests.countBefore(request), connections, request.deadlineMs());
    tooLong.ifPresent(request::refused);
    return tooLong.isPresent();
  }

  /** Refuses the waiting requests whose deadline has passed or can't be met any more. */
  void refuseLate(String targetId) {
    requests.refuseExpired(scheduler.nowMs(), targetId);
    if (!pace.isLimited()) {
      return;
    }
    for (LinkRequest request : requests.all()) {
      Optional<Fault> tooLate = pace.refusalOfSending(request.deadlineMs());
      if (tooLate.isPresent() && !isProbe(request) && requests.remove(request)) {
        request.refused(tooLate.get());
      }
    }
  }

  /**
   * Returns the request that gets a connection that became free. With a limit it is empty: requests
   * before it may have idle connections, so that all are considered by {@link #serveWaiting}.
   */
  Optional<LinkRequest> nextFor(PooledLink freed) {
    return pace.isLimited()
        ? Optional.empty()
        : requests.nextFor(freed, request -> links.isServedSoon(request, scheduler.nowMs()));
  }

  /**
   * Serves waiting requests as far as the target has room. A request for which no connection is
   * idle is passed over only if another will soon serve it, so that organisations with idle
   * connections don't use up the room.
   *
   * @param targetId the identifier of the target
   * @param grant grants a connection to a request
   * @param tryOpen opens a connection for a request if possible
   * @return true if requests still wait and the target has room
   */
  boolean serveWaiting(
      String targetId, BiConsumer<PooledLink, LinkRequest> grant, Consumer<LinkRequest> tryOpen) {
    if (!pace.isLimited() || requests.isEmpty()) {
      return false;
    }
    refuseLate(targetId);
    for (LinkRequest request : requests.all()) {
      if (!mayStart(request)) {
        return false;
      }
      if (!requests.contains(request)) {
        continue;
      }
      Optional<PooledLink> free = links.idle().take(request);
      if (free.isPresent()) {
        requests.remove(request);
        grant.accept(free.get(), request);
      } else if (!links.isServedSoon(request, scheduler.nowMs())) {
        tryOpen.accept(request);
      }
    }
    return !requests.isEmpty();
  }

  private static boolean isProbe(LinkRequest request) {
    return request.priority() == LinkRequest.INTERNAL_PRIORITY;
  }
}
