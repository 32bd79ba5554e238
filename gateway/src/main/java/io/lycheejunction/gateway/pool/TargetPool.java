package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetLinks;
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
 * The connections of this VM to one target; opened as they are needed.
 *
 * <p>A target's connections are shared by all VMs. When the target refuses one more, the pool keeps
 * to what it has for a while.
 */
public final class TargetPool {
  /** How long the pool does not grow after the target refused a connection, in milliseconds. */
  static final long FULL_PAUSE_MS = 150;

  /** How long a request waits for a target that has no room for a first connection. */
  static final long FULL_WAIT_MS = 200;

  /** How long a connection that can't be opened is waited for, in milliseconds. */
  static final long OPEN_TIMEOUT_MS = 1_000;

  private static final long IDLE_MS = 20_000;
  private static final long EXTRA_IDLE_MS = 2_000;
  private static final long TURN_MS = 300;

  private final Target target;
  private final TargetLinks links;
  private final Scheduler scheduler;
  private final Runnable onOpening;
  private final Consumer<Fault> onFault;
  private final Deque<PooledLink> idle = new ArrayDeque<>();
  private final Set<PooledLink> busy = new HashSet<>();
  private final Set<PooledLink> opening = new HashSet<>();
  private final List<LinkRequest> requests = new ArrayList<>();
  private ConnectionShare share;
  private long noGrowthUntilMs = Long.MIN_VALUE;
  private boolean retired;

  /**
   * Creates a pool without connections.
   *
   * @param target the target
   * @param links opens connections
   * @param scheduler the gateway's clock
   * @param share how many connections to hold
   * @param onOpening is called when a connection starts to open
   * @param onFault is told of connections that fail
   */
  public TargetPool(
      Target target,
      TargetLinks links,
      Scheduler scheduler,
      ConnectionShare share,
      Runnable onOpening,
      Consumer<Fault> onFault) {
    this.target = target;
    this.links = links;
    this.scheduler = scheduler;
    this.share = share;
    this.onOpening = onOpening;
    this.onFault = onFault;
  }

  /**
   * Grants a connection to the request, now or later, or refuses it.
   *
   * @param request the request
   */
  public void acquire(LinkRequest request) {
    if (retired) {
      request.refused(Fault.of(ResultCode.TARGET_LEAVING, "target " + target.id() + " has left"));
      return;
    }
    Optional<PooledLink> free = takeIdle(request.session());
    if (free.isPresent()) {
      busy.add(free.get());
      request.granted(free.get());
      return;
    }
    enqueue(request);
    growFor(requests.size());
    if (links() == 0) {
      scheduler.schedule(FULL_WAIT_MS, () -> giveUp(request));
    }
  }

  private void giveUp(LinkRequest request) {
    if (links() == 0 && requests.remove(request)) {
      request.refused(
          new Fault(ResultCode.NO_CONNECTION, "no connection to " + target.id(), FULL_PAUSE_MS));
    }
  }

  private void growAgain() {
    growFor(requests.size());
  }

  /**
   * Drops a request that waits.
   *
   * @param request the request; it is told nothing
   */
  public void cancel(LinkRequest request) {
    requests.remove(request);
  }

  /**
   * Refuses all requests that wait for a connection.
   *
   * @param fault why
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
   * @return the number, with those that are being opened
   */
  public int links() {
    return idle.size() + busy.size() + opening.size();
  }

  /**
   * Sets how many connections to hold; open ones beyond that are closed when they are idle.
   *
   * @param changed the share
   */
  public void limit(ConnectionShare changed) {
    share = changed;
    while (links() > share.most() && !idle.isEmpty()) {
      idle.peekLast().abandon(Fault.of(ResultCode.TARGET_LEAVING, "beyond the share"));
    }
  }

  /** Closes the idle connections, and the others once they are released; refuses what waits. */
  public void retire() {
    retired = true;
    List.copyOf(idle)
        .forEach(link -> link.abandon(Fault.of(ResultCode.TARGET_LEAVING, "target has left")));
    refuseAll(Fault.of(ResultCode.TARGET_LEAVING, "target " + target.id() + " has left"));
  }

  /**
   * Closes all idle connections, since the target does not answer on another one.
   *
   * @param cause why
   */
  public void closeAllIdle(Fault cause) {
    List.copyOf(idle).forEach(link -> link.abandon(cause));
  }

  /** Closes connections that nobody has used for a while; those beyond the idle share sooner. */
  public void closeIdle() {
    int kept = 0;
    for (PooledLink link : List.copyOf(idle)) {
      kept++;
      long idleMs = scheduler.nowMs() - link.idleSinceMs();
      if (idleMs >= idleLimitMs(kept)) {
        link.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "idle"));
      }
    }
  }

  private long idleLimitMs(int kept) {
    if (kept <= share.idle()) {
      return IDLE_MS;
    }
    return share.idle() == 0 ? TURN_MS : EXTRA_IDLE_MS;
  }

  void release(PooledLink link) {
    if (!busy.remove(link) || link.isClosed()) {
      return;
    }
    if (retired || links() >= share.most() && requests.isEmpty()) {
      closeWhenQuiet(link);
      return;
    }
    if (link.isQuiet()) {
      offer(link);
    } else {
      opening.add(link);
    }
  }

  void onQuiet(PooledLink link) {
    if (opening.remove(link)) {
      offer(link);
    }
  }

  void onClosed(PooledLink link, Fault cause) {
    boolean wasOpening = opening.remove(link) && !link.isOpen();
    idle.remove(link);
    busy.remove(link);
    if (wasOpening) {
      onFault.accept(cause);
    }
    boolean full = cause.code() == ResultCode.TARGET_CONNECTIONS_FULL;
    if (!requests.isEmpty() && links() == 0 && wasOpening && full) {
      List.copyOf(requests)
          .forEach(request -> scheduler.schedule(FULL_WAIT_MS, () -> giveUp(request)));
    } else if (!requests.isEmpty() && links() == 0 && wasOpening) {
      refuseAll(cause);
    } else if (!requests.isEmpty()) {
      growFor(1);
    }
  }

  private void closeWhenQuiet(PooledLink link) {
    Fault cause = Fault.of(ResultCode.TARGET_LEAVING, "no longer needed");
    if (link.isQuiet()) {
      link.abandon(cause);
    } else {
      scheduler.schedule(OPEN_TIMEOUT_MS, () -> link.abandon(cause));
    }
  }

  private void offer(PooledLink link) {
    if (retired) {
      link.abandon(Fault.of(ResultCode.TARGET_LEAVING, "target has left"));
      return;
    }
    dropExpired();
    if (requests.isEmpty()) {
      link.idleSince(scheduler.nowMs());
      idle.addFirst(link);
      if (share.idle() == 0) {
        scheduler.schedule(TURN_MS, this::closeIdle);
      }
      return;
    }
    busy.add(link);
    requests.removeFirst().granted(link);
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
    int place = requests.size();
    while (place > 0 && requests.get(place - 1).priority() > request.priority()) {
      place--;
    }
    requests.add(place, request);
  }

  private void dropExpired() {
    long nowMs = scheduler.nowMs();
    for (LinkRequest request : List.copyOf(requests)) {
      if (request.untilMs() <= nowMs && requests.remove(request)) {
        request.refused(
            Fault.of(ResultCode.DEADLINE_EXCEEDED, "waited too long for " + target.id()));
      }
    }
  }

  private void growFor(int wanted) {
    long underWay = opening.stream().filter(link -> !link.isOpen()).count();
    for (long missing = wanted - underWay; missing > 0 && mayGrow(); missing--) {
      open();
    }
  }

  private boolean mayGrow() {
    return !retired && links() < most() && scheduler.nowMs() >= noGrowthUntilMs;
  }

  /** Returns the share, and one more for a question while all connections are in use. */
  private int most() {
    boolean question =
        !requests.isEmpty() && requests.getFirst().priority() == LinkRequest.QUESTION;
    return question ? share.most() + 1 : share.most();
  }

  private void open() {
    PooledLink pooled = new PooledLink(this);
    opening.add(pooled);
    onOpening.run();
    pooled.attach(links.open(target, new Listener(pooled)));
    scheduler.schedule(OPEN_TIMEOUT_MS, () -> giveUpOpening(pooled));
  }

  private void giveUpOpening(PooledLink pooled) {
    if (!pooled.isOpen()) {
      pooled.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "no greeting from " + target.id()));
    }
  }

  private void refuseAll(Fault fault) {
    List<LinkRequest> refused =
        requests.stream().sorted(Comparator.comparingInt(LinkRequest::priority)).toList();
    requests.clear();
    refused.forEach(request -> request.refused(fault));
  }

  private final class Listener implements TargetLinks.Listener {
    private final PooledLink pooled;

    private Listener(PooledLink pooled) {
      this.pooled = pooled;
    }

    @Override
    public void opened(LinkReply reply) {
      if (reply.fault().isPresent()) {
        Fault fault = reply.fault().get();
        if (fault.code() == ResultCode.TARGET_CONNECTIONS_FULL) {
          noGrowthUntilMs = scheduler.nowMs() + FULL_PAUSE_MS;
          scheduler.schedule(FULL_PAUSE_MS, TargetPool.this::growAgain);
        }
        pooled.abandon(fault);
        return;
      }
      pooled.onOpened();
      if (opening.remove(pooled)) {
        offer(pooled);
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
