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

/** Writes to a new group, fails its primary, heals everything and compares the ledger. */
final class FaultRound {
  private static final String LEDGER = "orders";
  private static final int PER_THOUSAND_OF_PCT = 10;
  private static final long GAP_LIMIT_MS = 10_000;
  private static final long HEAL_LIMIT_MS = 10_000;
  private static final long AFTER_MS = 300;
  private static final long WARM_MS = 500;
  private static final long POLL_MS = 5;

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
        new Writers(cluster, group.name(), callersProxies(primary), scenario.load(), seeds);
    weaken();
    writers.start();
    cluster.clock.sleepMs(WARM_MS);
    final long startMs = cluster.clock.monotonicMs();
    cluster.clock.sleepMs(scenario.load().beforeMs());
    final long faultMs = cluster.clock.monotonicMs();
    strike(primary);
    final Optional<Long> resumedMs = awaitResumed(writers, group.name(), primary, faultMs);
    cluster.clock.sleepMs(AFTER_MS);
    writers.stop();
    heal(primary);
    awaitWhole(model);
    RoundResult.Before before = RoundResult.Before.of(acknowledged(writers), startMs, faultMs);
    RoundResult result = result(model, writers, resumedMs.map(ms -> ms - faultMs), before);
    cluster.dropGroup(group);
    return result;
  }

  private List<String> callersProxies(TargetSpec primary) {
    return scenario.fault() == Scenario.Fault.CUT_OFF
        ? cluster.fleet.outside(primary.failureDomain())
        : cluster.fleet.addresses();
  }

  private void weaken() {
    long lossPerThousand = (long) scenario.lossPct() * PER_THOUSAND_OF_PCT;
    cluster.standin.fault(new FaultMessage.LoseProbes(lossPerThousand, seeds.nextLong()));
    cluster.standin.fault(new FaultMessage.TableDown(scenario.storeDown()));
  }

  private static List<Order> acknowledged(Writers writers) {
    return writers.book.all().stream()
        .filter(order -> order.fate() == Order.Fate.ACKNOWLEDGED)
        .toList();
  }

  private void strike(TargetSpec primary) {
    if (scenario.fault() == Scenario.Fault.CRASH) {
      cluster.standin.fault(new FaultMessage.Crash(primary.name()));
      return;
    }
    for (String domain : cluster.user.domains()) {
      if (!domain.equals(primary.failureDomain())) {
        cluster.standin.fault(new FaultMessage.Cut(primary.failureDomain(), domain));
      }
    }
  }

  private Optional<Long> awaitResumed(
      Writers writers, String service, TargetSpec primary, long faultMs)
      throws InterruptedException {
    while (cluster.clock.monotonicMs() - faultMs < GAP_LIMIT_MS) {
      Optional<Long> resumedMs = writers.book.firstAcknowledged(service, primary.name(), faultMs);
      if (resumedMs.isPresent()) {
        return resumedMs;
      }
      cluster.clock.sleepMs(POLL_MS);
    }
    return Optional.empty();
  }

  private void heal(TargetSpec primary) {
    cluster.standin.fault(new FaultMessage.LoseProbes(0, 0));
    cluster.standin.fault(new FaultMessage.TableDown(false));
    cluster.standin.fault(new FaultMessage.HealAll());
    if (scenario.fault() == Scenario.Fault.CRASH) {
      cluster.standin.fault(new FaultMessage.Restart(primary.name()));
    }
  }

  private void awaitWhole(GroupModel model) throws InterruptedException {
    long untilMs = cluster.clock.monotonicMs() + HEAL_LIMIT_MS;
    while (!isWhole(model)) {
      if (cluster.clock.monotonicMs() > untilMs) {
        throw new IllegalStateException(model.name() + " is not whole in " + HEAL_LIMIT_MS + " ms");
      }
      cluster.clock.sleepMs(POLL_MS);
    }
  }

  private static boolean isWhole(GroupModel model) {
    Set<Long> terms = new HashSet<>();
    Set<Object> ends = new HashSet<>();
    for (TargetSpec target : model.targets()) {
      TargetStatus status = model.status(target.name());
      terms.add(status.term());
      ends.add(status.applied());
    }
    return model.primary().isPresent() && terms.size() == 1 && ends.size() == 1;
  }

  private RoundResult result(
      GroupModel model, Writers writers, Optional<Long> gapMs, RoundResult.Before before) {
    String primary = model.primary().orElseThrow();
    List<String> keys = model.ledger(primary, LEDGER).stream().map(LedgerRow::key).toList();
    Set<String> kept = new HashSet<>(keys);
    List<Order> acknowledged = acknowledged(writers);
    long lost = acknowledged.stream().filter(order -> !kept.contains(order.id())).count();
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
        keys.size() - (long) kept.size(),
        before);
  }
}
