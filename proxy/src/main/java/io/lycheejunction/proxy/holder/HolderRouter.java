package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Runs requests on the targets whose connection pools this proxy holds, and forwards all others
 * once to the proxy that holds their target.
 *
 * <p>One live proxy holds all connections of a target, so proxies need not divide the target's
 * connection limit among themselves.
 */
public final class HolderRouter implements HolderClient {
  private static final Fault SHUTTING_DOWN =
      Fault.of(ResultCode.SHUTTING_DOWN, "the proxy is shutting down and accepts no new work");
  private static final long IDLE_POLL_MS = 10;

  private final Peers peers;
  private final GroupMonitor monitor;
  private final RuntimeClock clock;
  private final LocalHolder local;
  private final Forwarder forwarder;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;

  /**
   * Creates a router without open connections.
   *
   * @param configuration the configuration in force
   * @param peers the live proxies, and the targets that are leaving
   * @param monitor the terms and primaries of the groups
   * @param port sends requests to the targets
   * @param transport sends requests to the other proxies
   * @param clock the runtime clock
   * @param random generates identifiers; must be secure in production, as transaction identifiers
   *     must not be guessable
   * @param registry receives the metrics
   * @param warmUps executes the tasks that open connections ahead of demand
   * @param settings the limits and timeouts
   */
  public HolderRouter(
      ConfigurationSource configuration,
      Peers peers,
      GroupMonitor monitor,
      TargetPort port,
      PeerTransport transport,
      RuntimeClock clock,
      RandomGenerator random,
      MeterRegistry registry,
      Executor warmUps,
      HolderSettings settings) {
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.forwarder = new Forwarder(transport, settings.peerConcurrency());
    this.local =
        LocalHolder.of(
            configuration, peers, monitor, port, clock, random, registry, warmUps, settings);
  }

  /**
   * Registers the handlers of forwarded requests, which are never forwarded again.
   *
   * @param routes the request handlers of this proxy
   */
  public void register(PeerRoutes routes) {
    routes.add(Forwarder.EXECUTE, HolderStatement.class, this::executeLocally);
    routes.add(Forwarder.BEGIN, BeginRequest.class, this::beginLocally);
    routes.add(Forwarder.STEP, TransactionStep.class, this::stepLocally);
    routes.add(Forwarder.OUTCOME, KeyQuery.class, this::outcomeLocally);
    routes.add(
        Forwarder.FLOOR,
        FloorQuery.class,
        query -> floorLocally(query.group(), deadline(query.remainingMs())));
  }

  @Override
  public Result<HolderAnswer> execute(HolderStatement statement) {
    Optional<Vm> peer = remoteHolder(statement.group(), statement.target());
    return peer.map(
            vm ->
                forward(
                    vm, Forwarder.EXECUTE, statement, HolderAnswer.class, statement.remainingMs()))
        .orElseGet(() -> executeLocally(statement));
  }

  @Override
  public Result<TransactionId> beginTransaction(BeginRequest request) {
    Optional<Vm> peer = remoteHolder(request.group(), request.target());
    return peer.map(
            vm -> forward(vm, Forwarder.BEGIN, request, TransactionId.class, request.remainingMs()))
        .orElseGet(() -> beginLocally(request));
  }

  @Override
  public Result<HolderAnswer> executeStep(TransactionStep step) {
    String holder = new TransactionId(step.id()).holder();
    if (holder.equals(peers.self().name())) {
      return stepLocally(step);
    }
    Optional<Vm> peer = peers.find(holder);
    if (peer.isEmpty()) {
      return FinishedTransactions.answerWithoutOutcome(step);
    }
    return forward(peer.get(), Forwarder.STEP, step, HolderAnswer.class, step.remainingMs());
  }

  @Override
  public Result<KeyAnswer> lookUpKey(KeyQuery query) {
    Optional<Vm> peer = remoteHolder(query.group(), query.target());
    return peer.map(
            vm -> forward(vm, Forwarder.OUTCOME, query, KeyAnswer.class, query.remainingMs()))
        .orElseGet(() -> outcomeLocally(query));
  }

  @Override
  public Result<LogPosition> latestAcknowledgedPosition(String group, long remainingMs) {
    Optional<String> primary = monitor.view(group).primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, group);
    }
    FloorQuery query = new FloorQuery(group, remainingMs);
    Optional<Vm> peer = remoteHolder(group, primary.get());
    return peer.map(vm -> forward(vm, Forwarder.FLOOR, query, LogPosition.class, remainingMs))
        .orElseGet(() -> floorLocally(group, deadline(remainingMs)));
  }

  /**
   * Creates or resizes the pools that this proxy now holds, retires those it no longer holds, and
   * rolls back transactions that exceed their idle limit.
   *
   * <p>Must be called periodically and when membership changes.
   */
  public void rebalance() {
    local.transactions().rollBackExpired();
    if (draining) {
      return;
    }
    local.targets().rebalance();
    forwarder.retainPeers(peers.live().stream().map(Vm::name).collect(Collectors.toSet()));
  }

  /** Starts to refuse new statements and transactions; open transactions may continue. */
  public void drain() {
    draining = true;
  }

  /**
   * Waits for all requests and transactions to end, then rolls back the transactions that are still
   * open and retires the pools.
   *
   * @param timeoutMs the time to wait, in milliseconds
   * @return true if all requests and transactions ended in time
   */
  public boolean awaitCompletionAndClose(long timeoutMs) {
    boolean idle = awaitCompletion(timeoutMs);
    local.transactions().rollBackAllIdle();
    local.targets().retireAll(SHUTTING_DOWN);
    return idle;
  }

  /**
   * Waits for all requests and transactions to end; rolls back only transactions that exceed their
   * idle limit.
   *
   * @param timeoutMs the time to wait, in milliseconds
   * @return true if all of them ended in time
   */
  public boolean awaitCompletion(long timeoutMs) {
    Deadline deadline = deadline(timeoutMs);
    while (!isIdle() && !deadline.isPassed()) {
      local.transactions().rollBackExpired();
      if (!deadline.sleepMs(deadline.remainingMs(IDLE_POLL_MS))) {
        break;
      }
    }
    return isIdle();
  }

  /**
   * Returns whether no request is in progress and no transaction is open.
   *
   * @return true if there is none
   */
  public boolean isIdle() {
    return inFlight.get() == 0 && local.transactions().openCount() == 0;
  }

  private Result<HolderAnswer> executeLocally(HolderStatement statement) {
    Deadline deadline = deadline(statement.remainingMs());
    return runUnlessDraining(() -> local.statements().execute(statement, deadline));
  }

  private Result<TransactionId> beginLocally(BeginRequest request) {
    Deadline deadline = deadline(request.remainingMs());
    return runUnlessDraining(() -> local.transactions().begin(request, deadline));
  }

  private Result<HolderAnswer> stepLocally(TransactionStep step) {
    Deadline deadline = deadline(step.remainingMs());
    return countInFlight(() -> local.transactions().step(step, deadline));
  }

  private Result<KeyAnswer> outcomeLocally(KeyQuery query) {
    Deadline deadline = deadline(query.remainingMs());
    return countInFlight(() -> local.outcomes().outcome(query, deadline));
  }

  private Result<LogPosition> floorLocally(String group, Deadline deadline) {
    return countInFlight(() -> local.floors().floor(group, deadline));
  }

  private <T> Result<T> runUnlessDraining(Supplier<Result<T>> work) {
    return countInFlight(() -> draining ? Result.failure(SHUTTING_DOWN) : work.get());
  }

  private <T> Result<T> countInFlight(Supplier<Result<T>> work) {
    inFlight.incrementAndGet();
    try {
      Result<T> result = work.get();
      if (result instanceof Result.Failure<T> failure) {
        local.metrics().requestRefused(failure.fault());
      }
      return result;
    } finally {
      inFlight.decrementAndGet();
    }
  }

  /** Returns the holder of the target if it is another proxy. */
  private Optional<Vm> remoteHolder(String group, String target) {
    return local
        .targets()
        .holderOf(group, target)
        .map(Optional::of)
        .getOrElse(Optional.empty())
        .filter(vm -> !vm.name().equals(peers.self().name()));
  }

  private <T> Result<T> forward(
      Vm peer, String path, Object message, Class<T> replyType, long remainingMs) {
    return forwarder.send(peer, path, message, replyType, deadline(remainingMs));
  }

  private Deadline deadline(long remainingMs) {
    return Deadline.in(clock, remainingMs);
  }
}
