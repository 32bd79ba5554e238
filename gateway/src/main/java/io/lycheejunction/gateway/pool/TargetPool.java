package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetLinkOpener;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.Target;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A pool of this VM's connections to one target, which are opened on demand.
 *
 * <p>A connection serves the organisation that it was opened for. When all connections of the share
 * are open, one of another organisation is closed for a request whose organisation lacks one.
 *
 * <p>All VMs share the connection limit of a target. After the target has refused a connection, the
 * pool opens no further one for a while.
 */
public final class TargetPool {
  /** Backoff before the pool grows again after the target refused a connection, in milliseconds. */
  static final long FULL_BACKOFF_MS = 150;

  /**
   * Time limit of a request while the target is full and the pool has no connection to it, in
   * milliseconds.
   */
  static final long NO_CONNECTION_TIMEOUT_MS = 200;

  /** Time limit for opening a connection, in milliseconds. */
  static final long OPEN_TIMEOUT_MS = 1_000;

  private static final Fault EVICTED =
      Fault.of(ResultCode.TARGET_LEAVING, "another organisation needs the connection");

  private static final Fault BEYOND_SHARE =
      Fault.of(ResultCode.TARGET_LEAVING, "more connections than the share of this VM");

  private final Target target;
  private final TargetLinkOpener linkOpener;
  private final Scheduler scheduler;
  private final Consumer<OpenReason> onOpening;
  private final Consumer<Fault> onFault;
  private final OrganisationRule rule;
  private final PoolLinks links;
  private final LinkQueue requests;
  private final LimitedStarts starts;
  private ConnectionShare share;
  private long noGrowthUntilMs = Long.MIN_VALUE;
  private boolean retired;

  /** True if the target refused the latest connection for which none was closed before. */
  private boolean targetFull;

  /**
   * Creates a pool without connections.
   *
   * @param target the target to connect to
   * @param linkOpener opens connections
   * @param scheduler the gateway's clock and timers
   * @param share the maximum number of connections
   * @param onOpening receives the reason when the pool starts to open a connection
   * @param onFault receives the fault of each connection that could not be opened
   * @param pace limits the statements in progress
   */
  public TargetPool(
      Target target,
      TargetLinkOpener linkOpener,
      Scheduler scheduler,
      ConnectionShare share,
      Consumer<OpenReason> onOpening,
      Consumer<Fault> onFault,
      TargetPace pace) {
    this.target = target;
    this.linkOpener = linkOpener;
    this.scheduler = scheduler;
    this.share = share;
    this.onOpening = onOpening;
    this.rule = new OrganisationRule(linkOpener.isPerOrganisation());
    this.links = new PoolLinks(rule);
    this.requests = new LinkQueue(rule);
    this.onFault = onFault;
    pace.setRoomListener(this::serveWaiting);
    this.starts = new LimitedStarts(pace, scheduler, links, requests);
  }

  /**
   * Grants a connection to the request, now or later, or refuses it.
   *
   * @param request the request
   */
  public void acquire(LinkRequest request) {
    if (retired) {
      request.refused(notInService());
      return;
    }
    Optional<PooledLink> free = starts.takeIdle(request);
    if (free.isPresent()) {
      grant(free.get(), request);
      return;
    }
    if (starts.refusesToWait(request, share.max())) {
      return;
    }
    requests.add(request);
    ensureOpening(requests.size());
    if (connectionCount() == 0) {
      scheduleRefusal(request);
    }
  }

  private void scheduleRefusal(LinkRequest request) {
    scheduler.schedule(NO_CONNECTION_TIMEOUT_MS, () -> refuseIfUnconnected(request));
  }

  private void grant(PooledLink link, LinkRequest request) {
    link.setBusySince(scheduler.nowMs());
    links.busy().add(link);
    request.granted(link);
  }

  private void refuseIfUnconnected(LinkRequest request) {
    if (connectionCount() == 0 && requests.remove(request)) {
      request.refused(
          new Fault(ResultCode.NO_CONNECTION, "no connection to " + target.id(), FULL_BACKOFF_MS));
    }
  }

  /**
   * Removes a waiting request without notifying it.
   *
   * @param request the request
   */
  public void cancel(LinkRequest request) {
    requests.remove(request);
  }

  /**
   * Refuses all requests that wait for a connection.
   *
   * @param fault the reason
   */
  public void refuseWaiting(Fault fault) {
    requests.refuseAll(fault);
  }

  /**
   * Returns the number of requests that wait or hold a connection.
   *
   * @return the number
   */
  public int load() {
    return requests.size() + links.busy().size();
  }

  /**
   * Returns the limit on the statements in progress.
   *
   * @return the limit with what the target's answers have shown
   */
  public TargetPace pace() {
    return starts.pace();
  }

  /**
   * Returns the expected time until a statement that arrives now is sent, due to the limit.
   *
   * @return the time, in milliseconds
   */
  public double expectedWaitMs() {
    return pace().expectedWaitMs(requests.size(), share.max());
  }

  /**
   * Returns the number of requests that wait.
   *
   * @return the number
   */
  public int waiting() {
    return requests.size();
  }

  /**
   * Returns the number of connections.
   *
   * @return the number, including connections that are being opened
   */
  public int connectionCount() {
    return links.count();
  }

  /**
   * Returns the organisations that have connections.
   *
   * @return their names
   */
  public Set<String> organisations() {
    return links.organisations();
  }

  /**
   * Sets the maximum number of connections. Connections beyond it are closed once they are idle.
   *
   * @param changed the new share
   */
  public void setShare(ConnectionShare changed) {
    share = changed;
    while (connectionCount() > share.max() && !links.idle().isEmpty()) {
      links.idle().leastRecentlyUsed(link -> true).orElseThrow().abandon(BEYOND_SHARE);
    }
  }

  /**
   * Closes the idle connections at once and the others when they are released, and refuses all
   * waiting requests.
   */
  public void retire() {
    retired = true;
    closeAllIdle(notInService());
    requests.refuseAll(notInService());
  }

  /**
   * Closes all idle connections, since the target does not answer on another connection.
   *
   * @param cause the reason
   */
  public void closeAllIdle(Fault cause) {
    links.idle().all().forEach(link -> link.abandon(cause));
  }

  /** Closes connections that have been idle too long; those beyond the idle share close sooner. */
  public void closeIdle() {
    Fault cause = Fault.of(ResultCode.TARGET_UNREACHABLE, "idle");
    links.idle().expired(share, scheduler.nowMs()).forEach(link -> link.abandon(cause));
  }

  void release(PooledLink link) {
    if (!links.busy().remove(link) || link.isClosed()) {
      return;
    }
    if (retired || connectionCount() >= share.max() && requests.isEmpty()) {
      closeWhenAnswered(link);
      return;
    }
    if (link.hasNoPendingCommands()) {
      makeAvailable(link);
    } else {
      links.notReady().add(link);
    }
  }

  void onAllAnswered(PooledLink link) {
    if (links.notReady().remove(link)) {
      makeAvailable(link);
    }
  }

  void onClosed(PooledLink link, Fault cause) {
    boolean wasOpening = links.notReady().remove(link) && !link.isOpen();
    links.idle().remove(link);
    links.busy().remove(link);
    if (wasOpening) {
      onFault.accept(cause);
    }
    if (!requests.isEmpty() && connectionCount() == 0 && wasOpening && isFull(cause)) {
      requests.all().forEach(this::scheduleRefusal);
    } else if (!requests.isEmpty() && connectionCount() == 0 && wasOpening) {
      requests.refuseAll(cause);
    } else if (!requests.isEmpty()) {
      ensureOpening(link.organisation().isEmpty() ? 1 : requests.size());
    }
  }

  private void closeWhenAnswered(PooledLink link) {
    Fault cause = Fault.of(ResultCode.TARGET_LEAVING, "the connection is no longer needed");
    if (link.hasNoPendingCommands()) {
      link.abandon(cause);
    } else {
      scheduler.schedule(OPEN_TIMEOUT_MS, () -> link.abandon(cause));
    }
  }

  private void makeAvailable(PooledLink link) {
    if (retired) {
      link.abandon(notInService());
      return;
    }
    starts.refuseLate(target.id());
    Optional<LinkRequest> next = starts.nextFor(link);
    if (next.isEmpty()) {
      links.idle().add(link, scheduler.nowMs());
      if (share.maxIdle() == 0) {
        scheduler.schedule(IdleLinks.ZERO_SHARE_IDLE_TIMEOUT_MS, this::closeIdle);
      }
      serveWaiting();
      ensureOpening(requests.size());
    } else if (rule.fits(link, next.get())) {
      requests.remove(next.get());
      grant(link, next.get());
    } else if (connectionCount() < maxLinks()) {
      replace(link, next.get());
    } else {
      link.abandon(EVICTED);
    }
  }

  /** Serves waiting requests after statements have ended, as far as the target has room. */
  void serveWaiting() {
    if (!retired && starts.serveWaiting(target.id(), this::grant, this::tryOpen)) {
      ensureOpening(requests.size());
    }
  }

  /** Opens connections for those of the first waiting requests that have none coming. */
  private void ensureOpening(int wanted) {
    Optional<LinkRequest> next = requests.firstWithoutLink(wanted, links.comingOrIdle());
    while (next.isPresent() && tryOpen(next.get())) {
      next = requests.firstWithoutLink(wanted, links.comingOrIdle());
    }
  }

  /** Opens a connection, or closes one to make room; returns false if neither is possible. */
  private boolean tryOpen(LinkRequest request) {
    if (retired || scheduler.nowMs() < noGrowthUntilMs || !starts.mayStart(request)) {
      return false;
    }
    boolean hasRoom = connectionCount() < maxLinks();
    if (hasRoom && (!targetFull || links.idle().isEmpty())) {
      Optional<String> organisation = rule.requiredBy(request);
      boolean first = !links.hasAnyOf(organisation);
      open(register(organisation), first ? OpenReason.FIRST : OpenReason.ADDITIONAL);
      return true;
    }
    Optional<PooledLink> evicted = links.evictableFor(request, scheduler.nowMs());
    if (evicted.isEmpty()) {
      if (!links.idle().isEmpty()) {
        scheduler.schedule(PoolLinks.FREE_SOON_MS, () -> ensureOpening(requests.size()));
      }
      return false;
    }
    targetFull = false;
    if (connectionCount() > maxLinks()) {
      evicted.get().abandon(EVICTED);
    } else {
      replace(evicted.get(), request);
    }
    return true;
  }

  /** Returns the share, plus one connection if the first waiting request is a probe. */
  private int maxLinks() {
    return requests.startsWithProbe() ? share.max() + 1 : share.max();
  }

  /** Closes a connection that fits no waiting request, and opens one for a request. */
  private void replace(PooledLink evicted, LinkRequest request) {
    PooledLink pooled = register(rule.requiredBy(request));
    evicted.abandon(EVICTED);
    open(pooled, OpenReason.EVICTED_OTHER);
  }

  private PooledLink register(Optional<String> organisation) {
    PooledLink pooled = new PooledLink(this, organisation);
    links.notReady().add(pooled);
    return pooled;
  }

  private void open(PooledLink pooled, OpenReason reason) {
    onOpening.accept(reason);
    pooled.attach(
        linkOpener.open(target, pooled.organisation(), new PooledLinkListener(this, pooled)));
    scheduler.schedule(OPEN_TIMEOUT_MS, () -> pooled.abandonUnlessOpen(target.id()));
  }

  private Fault notInService() {
    return Fault.of(
        ResultCode.TARGET_LEAVING, "target " + target.id() + " is no longer in service");
  }

  void onOpened(PooledLink pooled, LinkReply reply) {
    targetFull = reply.fault().filter(TargetPool::isFull).isPresent();
    if (targetFull) {
      noGrowthUntilMs = scheduler.nowMs() + FULL_BACKOFF_MS;
      scheduler.schedule(FULL_BACKOFF_MS, () -> ensureOpening(requests.size()));
    }
    if (reply.fault().isPresent()) {
      pooled.abandon(reply.fault().get());
      return;
    }
    pooled.onOpened();
    onAllAnswered(pooled);
    serveWaiting();
  }

  private static boolean isFull(Fault fault) {
    return fault.code() == ResultCode.TARGET_CONNECTIONS_FULL;
  }
}
