package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetLinkOpener;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.Target;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A pool of this VM's connections to one target, which are opened on demand.
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

  private static final long IDLE_TIMEOUT_MS = 20_000;
  private static final long EXTRA_IDLE_TIMEOUT_MS = 2_000;

  /** Short, since VMs without an idle share take turns in using the target's connections. */
  private static final long ZERO_SHARE_IDLE_TIMEOUT_MS = 300;

  private final Target target;
  private final TargetLinkOpener linkOpener;
  private final Scheduler scheduler;
  private final Runnable onOpening;
  private final Consumer<Fault> onFault;
  private final TargetPace pace;
  private final Deque<PooledLink> idle = new ArrayDeque<>();
  private final Set<PooledLink> busy = new HashSet<>();

  /** Connections that are being opened, or were released before all commands were answered. */
  private final Set<PooledLink> notReady = new HashSet<>();

  private final List<LinkRequest> requests = new ArrayList<>();
  private ConnectionShare share;
  private long noGrowthUntilMs = Long.MIN_VALUE;
  private boolean retired;

  /**
   * Creates a pool without connections.
   *
   * @param target the target to connect to
   * @param linkOpener opens connections
   * @param scheduler the gateway's clock and timers
   * @param share the maximum number of connections
   * @param onOpening is called when the pool starts to open a connection
   * @param onFault receives the fault of each connection that could not be opened
   * @param pace limits the statements in progress
   */
  public TargetPool(
      Target target,
      TargetLinkOpener linkOpener,
      Scheduler scheduler,
      ConnectionShare share,
      Runnable onOpening,
      Consumer<Fault> onFault,
      TargetPace pace) {
    this.target = target;
    this.linkOpener = linkOpener;
    this.scheduler = scheduler;
    this.share = share;
    this.onOpening = onOpening;
    this.onFault = onFault;
    this.pace = pace;
  }

  /**
   * Grants a connection to the request, now or later, or refuses it.
   *
   * @param request the request
   */
  public void acquire(LinkRequest request) {
    if (retired) {
      request.refused(
          Fault.of(
              ResultCode.TARGET_LEAVING, "target " + target.id() + " is no longer in service"));
      return;
    }
    Optional<PooledLink> free = mayStart(request) ? takeIdle(request.session()) : Optional.empty();
    if (free.isPresent()) {
      busy.add(free.get());
      request.granted(free.get());
      return;
    }
    Optional<Fault> tooLong =
        pace.refusalOfWait(waitingBefore(request), share.max(), request.deadlineMs());
    if (tooLong.isPresent() && !isProbe(request)) {
      request.refused(tooLong.get());
      return;
    }
    enqueue(request);
    ensureOpening(requests.size());
    if (connectionCount() == 0) {
      scheduler.schedule(NO_CONNECTION_TIMEOUT_MS, () -> refuseIfUnconnected(request));
    }
  }

  private void refuseIfUnconnected(LinkRequest request) {
    if (connectionCount() == 0 && requests.remove(request)) {
      request.refused(
          new Fault(ResultCode.NO_CONNECTION, "no connection to " + target.id(), FULL_BACKOFF_MS));
    }
  }

  private void growForWaiting() {
    ensureOpening(requests.size());
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
    refuseAll(fault);
  }

  /**
   * Returns the number of requests that wait or hold a connection.
   *
   * @return the number
   */
  public int load() {
    return requests.size() + busy.size();
  }

  /**
   * Returns the limit on the statements in progress.
   *
   * @return the limit with what the target's answers have shown
   */
  public TargetPace pace() {
    return pace;
  }

  /**
   * Returns the expected time until a statement that arrives now is sent, due to the limit.
   *
   * @return the time, in milliseconds
   */
  public double expectedWaitMs() {
    return pace.expectedWaitMs(requests.size(), share.max());
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
    return idle.size() + busy.size() + notReady.size();
  }

  /**
   * Sets the maximum number of connections. Connections beyond it are closed once they are idle.
   *
   * @param changed the new share
   */
  public void setShare(ConnectionShare changed) {
    share = changed;
    while (connectionCount() > share.max() && !idle.isEmpty()) {
      idle.peekLast()
          .abandon(
              Fault.of(ResultCode.TARGET_LEAVING, "more connections than the share of this VM"));
    }
  }

  /**
   * Closes the idle connections at once and the others when they are released, and refuses all
   * waiting requests.
   */
  public void retire() {
    retired = true;
    List.copyOf(idle)
        .forEach(
            link ->
                link.abandon(
                    Fault.of(ResultCode.TARGET_LEAVING, "the target is no longer in service")));
    refuseAll(
        Fault.of(ResultCode.TARGET_LEAVING, "target " + target.id() + " is no longer in service"));
  }

  /**
   * Closes all idle connections, since the target does not answer on another connection.
   *
   * @param cause the reason
   */
  public void closeAllIdle(Fault cause) {
    List.copyOf(idle).forEach(link -> link.abandon(cause));
  }

  /** Closes connections that have been idle too long; those beyond the idle share close sooner. */
  public void closeIdle() {
    int index = 0;
    for (PooledLink link : List.copyOf(idle)) {
      index++;
      long idleMs = scheduler.nowMs() - link.idleSinceMs();
      if (idleMs >= idleLimitMs(index)) {
        link.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "idle"));
      }
    }
  }

  private long idleLimitMs(int index) {
    if (index <= share.maxIdle()) {
      return IDLE_TIMEOUT_MS;
    }
    return share.maxIdle() == 0 ? ZERO_SHARE_IDLE_TIMEOUT_MS : EXTRA_IDLE_TIMEOUT_MS;
  }

  void release(PooledLink link) {
    if (!busy.remove(link) || link.isClosed()) {
      return;
    }
    if (retired || connectionCount() >= share.max() && requests.isEmpty()) {
      closeWhenAnswered(link);
      return;
    }
    if (link.hasNoPendingCommands()) {
      makeAvailable(link);
    } else {
      notReady.add(link);
    }
  }

  void onAllAnswered(PooledLink link) {
    if (notReady.remove(link)) {
      makeAvailable(link);
    }
  }

  void onClosed(PooledLink link, Fault cause) {
    boolean wasOpening = notReady.remove(link) && !link.isOpen();
    idle.remove(link);
    busy.remove(link);
    if (wasOpening) {
      onFault.accept(cause);
    }
    boolean full = cause.code() == ResultCode.TARGET_CONNECTIONS_FULL;
    if (!requests.isEmpty() && connectionCount() == 0 && wasOpening && full) {
      List.copyOf(requests)
          .forEach(
              request ->
                  scheduler.schedule(NO_CONNECTION_TIMEOUT_MS, () -> refuseIfUnconnected(request)));
    } else if (!requests.isEmpty() && connectionCount() == 0 && wasOpening) {
      refuseAll(cause);
    } else if (!requests.isEmpty()) {
      ensureOpening(1);
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
      link.abandon(Fault.of(ResultCode.TARGET_LEAVING, "the target is no longer in service"));
      return;
    }
    refuseExpired();
    if (requests.isEmpty() || !mayStart(requests.getFirst())) {
      link.setIdleSince(scheduler.nowMs());
      idle.addFirst(link);
      if (share.maxIdle() == 0) {
        scheduler.schedule(ZERO_SHARE_IDLE_TIMEOUT_MS, this::closeIdle);
      }
      return;
    }
    busy.add(link);
    requests.removeFirst().granted(link);
  }

  /** Serves waiting requests after statements have ended, as far as the target has room. */
  void serveWaiting() {
    while (pace.isLimited() && !requests.isEmpty() && mayStart(requests.getFirst())) {
      Optional<PooledLink> free = takeIdle(requests.getFirst().session());
      if (free.isEmpty()) {
        ensureOpening(1);
        return;
      }
      makeAvailable(free.get());
    }
  }

  private boolean mayStart(LinkRequest request) {
    return isProbe(request) || pace.hasRoom();
  }

  private static boolean isProbe(LinkRequest request) {
    return request.priority() == LinkRequest.INTERNAL_PRIORITY;
  }

  private int waitingBefore(LinkRequest request) {
    return (int) requests.stream().filter(r -> r.priority() <= request.priority()).count();
  }

  private Optional<PooledLink> takeIdle(SessionState session) {
    for (PooledLink link : idle) {
      if (link.isSetUpFor(session)) {
        idle.remove(link);
        return Optional.of(link);
      }
    }
    return Optional.ofNullable(idle.pollFirst());
  }

  private void enqueue(LinkRequest request) {
    int index = requests.size();
    while (index > 0 && requests.get(index - 1).priority() > request.priority()) {
      index--;
    }
    requests.add(index, request);
  }

  private void refuseExpired() {
    long nowMs = scheduler.nowMs();
    for (LinkRequest request : List.copyOf(requests)) {
      if (request.deadlineMs() <= nowMs && requests.remove(request)) {
        request.refused(
            Fault.of(
                ResultCode.DEADLINE_EXCEEDED,
                "timed out while waiting for a connection to " + target.id()));
        continue;
      }
      Optional<Fault> tooLate = pace.refusalOfSending(request.deadlineMs());
      if (tooLate.isPresent() && !isProbe(request) && requests.remove(request)) {
        request.refused(tooLate.get());
      }
    }
  }

  private void ensureOpening(int wanted) {
    long alreadyOpening = notReady.stream().filter(link -> !link.isOpen()).count();
    for (long missing = wanted - alreadyOpening; missing > 0 && canGrow(); missing--) {
      openLink();
    }
  }

  private boolean canGrow() {
    return !retired
        && connectionCount() < maxLinks()
        && scheduler.nowMs() >= noGrowthUntilMs
        && (requests.isEmpty() || mayStart(requests.getFirst()));
  }

  /** Returns the share, plus one connection if the first waiting request is a probe. */
  private int maxLinks() {
    boolean probe = !requests.isEmpty() && isProbe(requests.getFirst());
    return probe ? share.max() + 1 : share.max();
  }

  private void openLink() {
    PooledLink pooled = new PooledLink(this);
    notReady.add(pooled);
    onOpening.run();
    pooled.attach(linkOpener.open(target, Optional.empty(), new Listener(pooled)));
    scheduler.schedule(OPEN_TIMEOUT_MS, () -> onOpenTimeout(pooled));
  }

  private void onOpenTimeout(PooledLink pooled) {
    if (!pooled.isOpen()) {
      pooled.abandon(
          Fault.of(
              ResultCode.TARGET_UNREACHABLE,
              "no greeting within the time limit from " + target.id()));
    }
  }

  private void refuseAll(Fault fault) {
    List<LinkRequest> refused =
        requests.stream().sorted(Comparator.comparingInt(LinkRequest::priority)).toList();
    requests.clear();
    refused.forEach(request -> request.refused(fault));
  }

  private final class Listener implements TargetLinkOpener.Listener {
    private final PooledLink pooled;

    private Listener(PooledLink pooled) {
      this.pooled = pooled;
    }

    @Override
    public void opened(LinkReply reply) {
      if (reply.fault().isPresent()) {
        Fault fault = reply.fault().get();
        if (fault.code() == ResultCode.TARGET_CONNECTIONS_FULL) {
          noGrowthUntilMs = scheduler.nowMs() + FULL_BACKOFF_MS;
          scheduler.schedule(FULL_BACKOFF_MS, TargetPool.this::growForWaiting);
        }
        pooled.abandon(fault);
        return;
      }
      pooled.onOpened();
      if (notReady.remove(pooled)) {
        makeAvailable(pooled);
      }
    }

    @Override
    public void replied(LinkReply reply) {
      pooled.onReplied(reply);
    }

    @Override
    public void closed(Fault cause) {
      pooled.onClosed(cause);
    }
  }
}
