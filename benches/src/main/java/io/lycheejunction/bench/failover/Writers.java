package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.load.Balancer;
import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.CallerStatistics;
import io.lycheejunction.bench.load.ObservedPrimaries;
import io.lycheejunction.bench.load.OrderHistory;
import io.lycheejunction.bench.load.SimulatedCaller;
import io.lycheejunction.bench.load.StatementMix;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Simulated callers that write orders with idempotency keys to one service. */
final class Writers {
  private static final int ALL_WRITES_PCT = 100;
  private static final long TIMEOUT_MS = 5_000;
  private static final long CALLER_DELAY_MS = 3;

  final OrderHistory orders = new OrderHistory();
  final CallerStatistics statistics = new CallerStatistics();

  private final List<SimulatedCaller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  Writers(Cluster cluster, String service, List<String> proxies, Scenario.Load load, Random seeds) {
    Balancer balancer = new Balancer(cluster.http, proxies);
    CallerClient client = new CallerClient(cluster.http, cluster.clock, CALLER_DELAY_MS);
    StatementMix mix = new StatementMix(ALL_WRITES_PCT, 0, 0, load.thinkMs(), TIMEOUT_MS);
    ObservedPrimaries primaries = new ObservedPrimaries();
    for (int i = 0; i < load.writers(); i++) {
      Random random = new Random(seeds.nextLong());
      callers.add(
          new SimulatedCaller(
              service,
              mix,
              client,
              balancer,
              orders,
              statistics,
              primaries,
              cluster.clock,
              random));
    }
  }

  void start() {
    for (SimulatedCaller caller : callers) {
      threads.add(Thread.ofVirtual().start(() -> caller.run(() -> running)));
    }
  }

  void stop() throws InterruptedException {
    running = false;
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
