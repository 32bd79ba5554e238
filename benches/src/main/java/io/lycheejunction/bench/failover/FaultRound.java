package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.load.Order;
import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.LedgerRow;
import io.lycheejunction.standin.model.LogEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Writes to a new group, injects a fault into its primary, clears all faults and compares the
 * ledger with the acknowledged orders.
 */
final class FaultRound {
  private static final String LEDGER = "orders";
  private static final int PER_MILLE_PER_PERCENT = 10;
  private static final long RESUMPTION_TIMEOUT_MS = 10_000;
  private static final long CONVERGENCE_TIMEOUT_MS = 10_000;
  private static final long RUN_AFTER_RESUMPTION_MS = 300;
  private static final long WARM_UP_MS = 500;
  private static final long POLL_INTERVAL_MS = 5;

  private final Cluster cluster;
  private final Scenario scenario;
  private final Random seeds;

  FaultRound(Cluster cluster, Scenario scenario, Random seeds) {
    this.cluster = cluster;
    this.scenario = scenario;
    this.seeds = seeds;
  }

  RoundResult run() throws InterruptedException {
    PlatformClient.Group group = cluster.createGroup(scenario.durability());
    final GroupModel model = cluster.standin.group(group.name());
    TargetSpec primary = group.targets().getFirst();
    Writers writers =
        new Writers(cluster, group.name(), writerProxies(primary), scenario.load(), seeds);
    injectBackgroundFaults();
    writers.start();
    cluster.clock.sleepMs(WARM_UP_MS);
    final long startMs = cluster.clock.monotonicMs();
    cluster.clock.sleepMs(scenario.load().baselineMs());
    final long faultMs = cluster.clock.monotonicMs();
    injectFault(primary);
    final Optional<Long> resumedMs = awaitResumed(writers, group.name(), primary, faultMs);
    cluster.clock.sleepMs(RUN_AFTER_RESUMPTION_MS);
    writers.stop();
    clearFaults(primary);
    awaitConverged(model);
    RoundResult.Before before = RoundResult.Before.of(acknowledged(writers), startMs, faultMs);
    RoundResult result = result(model, writers, resumedMs.map(ms -> ms - faultMs), before);
    cluster.dropGroup(group);
    return result;
  }

  private List<String> writerProxies(TargetSpec primary) {
    return scenario.fault() == Scenario.Fault.CUT_OFF
        ? cluster.fleet.addressesOutside(primary.failureDomain())
        : cluster.fleet.addresses();
  }

  private void injectBackgroundFaults() {
    long lossPerMille = (long) scenario.lossPct() * PER_MILLE_PER_PERCENT;
    cluster.standin.injectFault(new FaultMessage.LoseProbes(lossPerMille, seeds.nextLong()));
    cluster.standin.injectFault(new FaultMessage.TableDown(scenario.storeDown()));
  }

  private static List<Order> acknowledged(Writers writers) {
    return writers.orders.all().stream()
        .filter(order -> order.fate() == Order.Fate.ACKNOWLEDGED)
        .toList();
  }

  private void injectFault(TargetSpec primary) {
    if (scenario.fault() == Scenario.Fault.CRASH) {
      cluster.standin.injectFault(new FaultMessage.Crash(primary.name()));
      return;
    }
    for (String domain : cluster.user.domains()) {
      if (!domain.equals(primary.failureDomain())) {
        cluster.standin.injectFault(new FaultMessage.Cut(primary.failureDomain(), domain));
      }
    }
  }

  private Optional<Long> awaitResumed(
      Writers writers, String service, TargetSpec primary, long faultMs)
      throws InterruptedException {
    while (cluster.clock.monotonicMs() - faultMs < RESUMPTION_TIMEOUT_MS) {
      Optional<Long> resumedMs =
          writers.orders.firstAcknowledgedMsByOtherTarget(service, primary.name(), faultMs);
      if (resumedMs.isPresent()) {
        return resumedMs;
      }
      cluster.clock.sleepMs(POLL_INTERVAL_MS);
    }
    return Optional.empty();
  }

  private void clearFaults(TargetSpec primary) {
    cluster.standin.injectFault(new FaultMessage.LoseProbes(0, 0));
    cluster.standin.injectFault(new FaultMessage.TableDown(false));
    cluster.standin.injectFault(new FaultMessage.HealAll());
    if (scenario.fault() == Scenario.Fault.CRASH) {
      cluster.standin.injectFault(new FaultMessage.Restart(primary.name()));
    }
  }

  private void awaitConverged(GroupModel model) throws InterruptedException {
    long untilMs = cluster.clock.monotonicMs() + CONVERGENCE_TIMEOUT_MS;
    while (!isConverged(model)) {
      if (cluster.clock.monotonicMs() > untilMs) {
        throw new IllegalStateException(
            model.name() + " did not converge within " + CONVERGENCE_TIMEOUT_MS + " ms");
      }
      cluster.clock.sleepMs(POLL_INTERVAL_MS);
    }
  }

  private static boolean isConverged(GroupModel model) {
    Set<Long> terms = new HashSet<>();
    Set<Object> appliedPositions = new HashSet<>();
    for (TargetSpec target : model.targets()) {
      TargetStatus status = model.status(target.name());
      terms.add(status.term());
      appliedPositions.add(status.applied());
    }
    return model.primary().isPresent() && terms.size() == 1 && appliedPositions.size() == 1;
  }

  private RoundResult result(
      GroupModel model, Writers writers, Optional<Long> gapMs, RoundResult.Before before) {
    String primary = model.primary().orElseThrow();
    List<String> keys = model.ledger(primary, LEDGER).stream().map(LedgerRow::key).toList();
    Set<String> uniqueKeys = new HashSet<>(keys);
    List<Order> acknowledged = acknowledged(writers);
    long lost = acknowledged.stream().filter(order -> !uniqueKeys.contains(order.id())).count();
    Set<Long> terms = new HashSet<>();
    for (LogEntry entry : model.log(primary)) {
      terms.add(entry.position().term());
    }
    return new RoundResult(
        gapMs,
        terms.size() - 1L,
        model.status(primary).term(),
        acknowledged.size(),
        lost,
        keys.size() - (long) uniqueKeys.size(),
        before);
  }
}
