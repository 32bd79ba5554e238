package io.lycheejunction.bench.load;

import io.lycheejunction.core.clock.RuntimeClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A simulated caller with one session. It sends each statement to a randomly chosen proxy: writes
 * of new orders, reads of its own orders and reads of any caller's orders.
 */
public final class SimulatedCaller {
  private static final int PERCENT = 100;
  private static final String LEDGER = "orders";

  private final String service;
  private final StatementMix mix;
  private final CallerClient client;
  private final Balancer balancer;
  private final OrderHistory orders;
  private final CallerStatistics statistics;
  private final ObservedPrimaries primaries;
  private final RuntimeClock clock;
  private final Random random;
  private final UuidV7 ids;
  private final List<String> ownOrderIds = new ArrayList<>();
  private Optional<String> sessionToken = Optional.empty();

  /**
   * Creates a caller without a session token.
   *
   * @param service the name of the service that receives the statements
   * @param mix the shares of the kinds of statements, and the pauses and timeouts
   * @param client the client that sends the statements
   * @param balancer the balancer that picks the proxy of each statement
   * @param orders the record of the orders of all callers
   * @param statistics the counters and latencies of all callers
   * @param primaries the record of the targets that acknowledged writes
   * @param clock the clock of pauses and time stamps
   * @param random the seeded source of all random choices
   */
  public SimulatedCaller(
      String service,
      StatementMix mix,
      CallerClient client,
      Balancer balancer,
      OrderHistory orders,
      CallerStatistics statistics,
      ObservedPrimaries primaries,
      RuntimeClock clock,
      Random random) {
    this.service = Objects.requireNonNull(service, "service is null");
    this.mix = Objects.requireNonNull(mix, "mix is null");
    this.client = Objects.requireNonNull(client, "client is null");
    this.balancer = Objects.requireNonNull(balancer, "balancer is null");
    this.orders = Objects.requireNonNull(orders, "orders is null");
    this.statistics = Objects.requireNonNull(statistics, "statistics is null");
    this.primaries = Objects.requireNonNull(primaries, "primaries is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.ids = new UuidV7(random);
  }

  /**
   * Sends statements with pauses in between until told to stop or interrupted.
   *
   * @param shouldContinue returns false once the caller has to stop; checked before each statement
   */
  public void run(BooleanSupplier shouldContinue) {
    try {
      while (shouldContinue.getAsBoolean()) {
        clock.sleepMs(random.nextLong(mix.thinkMs() + 1));
        sendNext();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendNext() throws InterruptedException {
    boolean isWrite = ownOrderIds.isEmpty() || random.nextInt(PERCENT) < mix.writePct();
    if (isWrite) {
      placeOrder();
      return;
    }
    if (random.nextInt(PERCENT) < mix.anyCallerReadPct()) {
      readAnyOrder();
      return;
    }
    readOwnOrder();
  }

  private void placeOrder() throws InterruptedException {
    String id = ids.next(clock.wallMs()).toString();
    String text = "append " + LEDGER + " " + id + " {\"bottles\":1}";
    long sentMs = clock.monotonicMs();
    long startNs = System.nanoTime();
    CallerReply reply = send(Statement.write(service, text, id, sessionToken, mix.timeoutMs()));
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    Order.Fate fate = Order.Fate.UNKNOWN;
    String target = "";
    switch (reply) {
      case CallerReply.Answer answer when answer.isDone() -> {
        fate = Order.Fate.ACKNOWLEDGED;
        target = answer.target();
        statistics.recordWrite(micros);
        primaries.recordWrite(service, target);
        ownOrderIds.add(id);
        updateSessionToken(answer);
      }
      case CallerReply.Answer answer when answer.isNotRun() -> fate = Order.Fate.REFUSED;
      case CallerReply.NotSent notSent -> fate = Order.Fate.REFUSED;
      case CallerReply.Answer answer -> fate = Order.Fate.UNKNOWN;
      case CallerReply.Incomplete incomplete -> fate = Order.Fate.UNKNOWN;
    }
    orders.add(new Order(service, id, fate, target, sentMs, clock.monotonicMs()));
  }

  private void readOwnOrder() throws InterruptedException {
    String id = ownOrderIds.get(random.nextInt(ownOrderIds.size()));
    Optional<Long> maxAgeMs = random.nextBoolean() ? Optional.of(mix.maxAgeMs()) : Optional.empty();
    read(id, maxAgeMs);
  }

  private void readAnyOrder() throws InterruptedException {
    long beforeMs = clock.monotonicMs() - mix.maxAgeMs();
    Optional<Order> order = orders.acknowledgedBefore(random, beforeMs);
    if (order.isEmpty() || !order.get().service().equals(service)) {
      readOwnOrder();
      return;
    }
    read(order.get().id(), Optional.of(mix.maxAgeMs()));
  }

  private void read(String id, Optional<Long> maxAgeMs) throws InterruptedException {
    String text = "get " + LEDGER + " " + id;
    long startNs = System.nanoTime();
    CallerReply reply =
        send(Statement.read(service, text, sessionToken, maxAgeMs, mix.timeoutMs()));
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    if (reply instanceof CallerReply.Answer answer && answer.isDone()) {
      statistics.recordRead(micros, !primaries.isPrimary(service, answer.target()));
      if (answer.rows().isEmpty()) {
        statistics.countStaleRead();
      }
      updateSessionToken(answer);
    }
  }

  private CallerReply send(Statement statement) throws InterruptedException {
    statistics.countStatement();
    CallerReply reply = client.send(balancer.choose(random), statement);
    switch (reply) {
      case CallerReply.Incomplete incomplete -> statistics.countIncomplete();
      case CallerReply.Answer answer when !answer.isDone() -> statistics.countRefused();
      case CallerReply.Answer answer -> {}
      case CallerReply.NotSent notSent -> statistics.countRefused();
    }
    return reply;
  }

  private void updateSessionToken(CallerReply.Answer answer) {
    if (answer.token().isPresent()) {
      sessionToken = answer.token();
    }
  }
}
