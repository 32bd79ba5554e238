package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.load.Balancer;
import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.Clerk;
import io.lycheejunction.bench.load.Mix;
import io.lycheejunction.bench.load.OrderBook;
import io.lycheejunction.bench.load.Primaries;
import io.lycheejunction.bench.load.Tally;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Simulated callers that write orders with idempotency keys to one service. */
final class Writers {
  private static final int ALL_WRITES_PCT = 100;
  private static final long TIMEOUT_MS = 5_000;
  private static final long CALLER_DELAY_MS = 3;

  final OrderBook orders = new OrderBook();
  final Tally tally = new Tally();

  private final List<Clerk> clerks = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  Writers(Cluster cluster, String service, List<String> proxies, Scenario.Load load, Random seeds) {
    Balancer balancer = new Balancer(cluster.http, proxies);
    CallerClient client = new CallerClient(cluster.http, cluster.clock, CALLER_DELAY_MS);
    Mix mix = new Mix(ALL_WRITES_PCT, 0, 0, load.thinkMs(), TIMEOUT_MS);
    Primaries primaries = new Primaries();
    for (int i = 0; i < load.writers(); i++) {
      Random random = new Random(seeds.nextLong());
      clerks.add(
          new Clerk(
              service, mix, client, balancer, orders, tally, primaries, cluster.clock, random));
    }
  }

  void start() {
    for (Clerk clerk : clerks) {
      threads.add(Thread.ofVirtual().start(() -> clerk.work(() -> running)));
    }
  }

  void stop() throws InterruptedException {
    running = false;
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
