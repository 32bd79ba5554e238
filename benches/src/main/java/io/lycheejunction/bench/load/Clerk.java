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
 * A caller with one session that roams between proxies: it places orders, reads its own and reads
 * those of others.
 */
public final class Clerk {
  private static final int PERCENT = 100;
  private static final String LEDGER = "orders";

  private final String service;
  private final Mix mix;
  private final CallerClient client;
  private final Balancer balancer;
  private final OrderBook book;
  private final Tally tally;
  private final Primaries primaries;
  private final RuntimeClock clock;
  private final Random random;
  private final UuidV7 ids;
  private final List<String> own = new ArrayList<>();
  private Optional<String> token = Optional.empty();

  /**
   * Creates a clerk.
   *
   * @param service the name of the service that it uses
   * @param mix what it does how often
   * @param client sends its statements
   * @param balancer chooses the proxy of each statement
   * @param book remembers its orders
   * @param tally counts and times its statements
   * @param primaries remembers which targets acknowledged writes
   * @param clock the runtime clock
   * @param random the seeded source of its choices
   */
  public Clerk(
      String service,
      Mix mix,
      CallerClient client,
      Balancer balancer,
      OrderBook book,
      Tally tally,
      Primaries primaries,
      RuntimeClock clock,
      Random random) {
    this.service = Objects.requireNonNull(service, "service is null");
    this.mix = Objects.requireNonNull(mix, "mix is null");
    this.client = Objects.requireNonNull(client, "client is null");
    this.balancer = Objects.requireNonNull(balancer, "balancer is null");
    this.book = Objects.requireNonNull(book, "book is null");
    this.tally = Objects.requireNonNull(tally, "tally is null");
    this.primaries = Objects.requireNonNull(primaries, "primaries is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.ids = new UuidV7(random);
  }

  /**
   * Works until told to stop.
   *
   * @param goesOn false when the clerk has to stop
   */
  public void work(BooleanSupplier goesOn) {
    try {
      while (goesOn.getAsBoolean()) {
        clock.sleepMs(random.nextLong(mix.thinkMs() + 1));
        step();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void step() throws InterruptedException {
    boolean writes = own.isEmpty() || random.nextInt(PERCENT) < mix.writePct();
    if (writes) {
      order();
      return;
    }
    if (random.nextInt(PERCENT) < mix.agedReadPct()) {
      readOther();
      return;
    }
    readOwn();
  }

  private void order() throws InterruptedException {
    String id = ids.next(clock.wallMs()).toString();
    String text = "append " + LEDGER + " " + id + " {\"bottles\":1}";
    long sentMs = clock.monotonicMs();
    long startNs = System.nanoTime();
    CallerReply reply = send(Statement.write(service, text, id, token, mix.timeoutMs()));
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    Order.Fate fate = Order.Fate.UNKNOWN;
    String target = "";
    switch (reply) {
      case CallerReply.Answer answer when answer.isDone() -> {
        fate = Order.Fate.ACKNOWLEDGED;
        target = answer.target();
        tally.wrote(micros);
        primaries.acknowledged(service, target);
        own.add(id);
        keep(answer);
      }
      case CallerReply.Answer answer when answer.isNotRun() -> fate = Order.Fate.REFUSED;
      case CallerReply.NotSent notSent -> fate = Order.Fate.REFUSED;
      case CallerReply.Answer answer -> fate = Order.Fate.UNKNOWN;
      case CallerReply.CutOff cutOff -> fate = Order.Fate.UNKNOWN;
    }
    book.add(new Order(service, id, fate, target, sentMs, clock.monotonicMs()));
  }

  private void readOwn() throws InterruptedException {
    String id = own.get(random.nextInt(own.size()));
    Optional<Long> maxAgeMs = random.nextBoolean() ? Optional.of(mix.maxAgeMs()) : Optional.empty();
    read(id, maxAgeMs);
  }

  private void readOther() throws InterruptedException {
    long beforeMs = clock.monotonicMs() - mix.maxAgeMs();
    Optional<Order> other = book.acknowledgedBefore(random, beforeMs);
    if (other.isEmpty() || !other.get().service().equals(service)) {
      readOwn();
      return;
    }
    read(other.get().id(), Optional.of(mix.maxAgeMs()));
  }

  private void read(String id, Optional<Long> maxAgeMs) throws InterruptedException {
    String text = "get " + LEDGER + " " + id;
    long startNs = System.nanoTime();
    CallerReply reply = send(Statement.read(service, text, token, maxAgeMs, mix.timeoutMs()));
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    if (reply instanceof CallerReply.Answer answer && answer.isDone()) {
      tally.read(micros, !primaries.isPrimary(service, answer.target()));
      if (answer.rows().isEmpty()) {
        tally.stale();
      }
      keep(answer);
    }
  }

  private CallerReply send(Statement statement) throws InterruptedException {
    tally.sent();
    CallerReply reply = client.send(balancer.choose(random), statement);
    switch (reply) {
      case CallerReply.CutOff cutOff -> tally.cutOff();
      case CallerReply.Answer answer when !answer.isDone() -> tally.refused();
      case CallerReply.Answer answer -> {}
      case CallerReply.NotSent notSent -> tally.refused();
    }
    return reply;
  }

  private void keep(CallerReply.Answer answer) {
    if (answer.token().isPresent()) {
      token = answer.token();
    }
  }
}
