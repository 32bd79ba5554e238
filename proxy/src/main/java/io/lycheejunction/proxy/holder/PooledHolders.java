package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.group.GroupWatch;
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
 * Runs statements on the targets whose pools this proxy holds, and forwards the others once.
 *
 * <p>Exactly one live proxy holds a target's pool, so that holders need not agree on shares of its
 * connections.
 */
public final class PooledHolders implements Holders {
  private static final Fault SHUTTING_DOWN =
      Fault.of(ResultCode.SHUTTING_DOWN, "the holder takes no new work");
  private static final long IDLE_STEP_MS = 10;

  private final Peers peers;
  private final GroupWatch watch;
  private final RuntimeClock clock;
  private final LocalHolder local;
  private final Forwarder forwarder;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;

  /**
   * Creates a holder without open connections.
   *
   * @param configuration the configuration in force
   * @param peers the live proxies and leaving targets
   * @param watch the groups
   * @param port reaches the targets
   * @param transport reaches the other proxies
   * @param clock the runtime clock
   * @param random the source of identifiers, a secure one in production
   * @param registry the metrics
   * @param warmUps runs the opening of connections ahead of demand
   * @param settings the limits
   */
  public PooledHolders(
      ConfigurationSource configuration,
      Peers peers,
      GroupWatch watch,
      TargetPort port,
      PeerTransport transport,
      RuntimeClock clock,
      RandomGenerator random,
      MeterRegistry registry,
      Executor warmUps,
      HolderSettings settings) {
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.watch = Objects.requireNonNull(watch, "watch is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.forwarder = new Forwarder(transport, settings.peerConcurrency());
    this.local =
        LocalHolder.of(
            configuration, peers, watch, port, clock, random, registry, warmUps, settings);
  }

  /**
   * Adds the handlers of requests that other proxies forward; they run here or not at all.
   *
   * @param routes the routes of this proxy
   */
  public void register(PeerRoutes routes) {
    routes.add(Forwarder.EXECUTE, HeldStatement.class, this::executeHere);
    routes.add(Forwarder.BEGIN, TransactionStart.class, this::beginHere);
    routes.add(Forwarder.STEP, TransactionStep.class, this::stepHere);
    routes.add(Forwarder.OUTCOME, KeyQuery.class, this::outcomeHere);
    routes.add(
        Forwarder.FLOOR,
        FloorQuery.class,
        query -> floorHere(query.group(), deadline(query.remainingMs())));
  }

  @Override
  public Result<HeldAnswer> execute(HeldStatement statement) {
    Optional<Vm> peer = otherHolder(statement.group(), statement.target());
    return peer.map(
            vm ->
                forward(
                    vm, Forwarder.EXECUTE, statement, HeldAnswer.class, statement.remainingMs()))
        .orElseGet(() -> executeHere(statement));
  }

  @Override
  public Result<TransactionId> begin(TransactionStart start) {
    Optional<Vm> peer = otherHolder(start.group(), start.target());
    return peer.map(
            vm -> forward(vm, Forwarder.BEGIN, start, TransactionId.class, start.remainingMs()))
        .orElseGet(() -> beginHere(start));
  }

  @Override
  public Result<HeldAnswer> step(TransactionStep step) {
    String holder = new TransactionId(step.id()).holder();
    if (holder.equals(peers.self().name())) {
      return stepHere(step);
    }
    Optional<Vm> peer = peers.find(holder);
    if (peer.isEmpty()) {
      return FinishedTransactions.forgotten(step);
    }
    return forward(peer.get(), Forwarder.STEP, step, HeldAnswer.class, step.remainingMs());
  }

  @Override
  public Result<KeyAnswer> outcome(KeyQuery query) {
    Optional<Vm> peer = otherHolder(query.group(), query.target());
    return peer.map(
            vm -> forward(vm, Forwarder.OUTCOME, query, KeyAnswer.class, query.remainingMs()))
        .orElseGet(() -> outcomeHere(query));
  }

  @Override
  public Result<LogPosition> floor(String group, long remainingMs) {
    Optional<String> primary = watch.view(group).primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, group);
    }
    FloorQuery query = new FloorQuery(group, remainingMs);
    Optional<Vm> peer = otherHolder(group, primary.get());
    return peer.map(vm -> forward(vm, Forwarder.FLOOR, query, LogPosition.class, remainingMs))
        .orElseGet(() -> floorHere(group, deadline(remainingMs)));
  }

  /**
   * Opens pools that this proxy has come to hold, ends those that it no longer holds, and rolls
   * back abandoned transactions; to be called periodically and when membership changes.
   */
  public void rebalance() {
    local.transactions().expire();
    if (draining) {
      return;
    }
    local.targets().rebalance();
    forwarder.retain(peers.live().stream().map(Vm::name).collect(Collectors.toSet()));
  }

  /** Refuses new statements and transactions from now on. */
  public void drain() {
    draining = true;
  }

  /**
   * Returns whether all requests and transactions ended before the deadline; then closes the pools,
   * which rolls back the transactions that are still open.
   *
   * @param timeoutMs the time to wait, in milliseconds
   * @return true if nothing was cut off
   */
  public boolean awaitIdle(long timeoutMs) {
    boolean idle = awaitEnd(timeoutMs);
    local.transactions().abandonAll();
    local.targets().retireAll(SHUTTING_DOWN);
    return idle;
  }

  /**
   * Returns whether all requests and transactions ended before the deadline; cuts nothing off.
   *
   * @param timeoutMs the time to wait, in milliseconds
   * @return true if none is left
   */
  public boolean awaitEnd(long timeoutMs) {
    Deadline deadline = deadline(timeoutMs);
    while (!isIdle() && !deadline.isPassed()) {
      local.transactions().expire();
      if (!deadline.sleepMs(deadline.remainingMs(IDLE_STEP_MS))) {
        break;
      }
    }
    return isIdle();
  }

  /**
   * Returns whether no request and no transaction is left; cuts nothing off.
   *
   * @return true if none is left
   */
  public boolean isIdle() {
    return inFlight.get() == 0 && local.transactions().count() == 0;
  }

  private Result<HeldAnswer> executeHere(HeldStatement statement) {
    Deadline deadline = deadline(statement.remainingMs());
    return admit(() -> local.statements().execute(statement, deadline));
  }

  private Result<TransactionId> beginHere(TransactionStart start) {
    Deadline deadline = deadline(start.remainingMs());
    return admit(() -> local.transactions().begin(start, deadline));
  }

  private Result<HeldAnswer> stepHere(TransactionStep step) {
    Deadline deadline = deadline(step.remainingMs());
    return count(() -> local.transactions().step(step, deadline));
  }

  private Result<KeyAnswer> outcomeHere(KeyQuery query) {
    Deadline deadline = deadline(query.remainingMs());
    return count(() -> local.outcomes().outcome(query, deadline));
  }

  private Result<LogPosition> floorHere(String group, Deadline deadline) {
    return count(() -> local.floors().floor(group, deadline));
  }

  private <T> Result<T> admit(Supplier<Result<T>> work) {
    return count(() -> draining ? Result.failure(SHUTTING_DOWN) : work.get());
  }

  private <T> Result<T> count(Supplier<Result<T>> work) {
    inFlight.incrementAndGet();
    try {
      Result<T> result = work.get();
      if (result instanceof Result.Failure<T> failure) {
        local.metrics().refused(failure.fault());
      }
      return result;
    } finally {
      inFlight.decrementAndGet();
    }
  }

  /** Returns the holder of the target if it is another proxy. */
  private Optional<Vm> otherHolder(String group, String target) {
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
