package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetPort;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * The components that run requests on targets held by this proxy.
 *
 * @param targets the held targets
 * @param statements runs single statements
 * @param transactions runs transactions
 * @param outcomes looks up idempotency keys
 * @param floors determines positions that include every acknowledged write
 * @param metrics the metrics of the held targets
 */
record LocalHolder(
    HeldTargets targets,
    LocalStatements statements,
    LocalTransactions transactions,
    LocalOutcomes outcomes,
    LocalFloors floors,
    HolderMetrics metrics) {

  static LocalHolder of(
      ConfigurationSource configuration,
      Peers peers,
      GroupMonitor monitor,
      TargetPort port,
      RuntimeClock clock,
      RandomGenerator random,
      MeterRegistry registry,
      Executor warmUps,
      HolderSettings settings) {
    HolderMetrics metrics = new HolderMetrics(registry);
    CorrelationIds ids = new CorrelationIds(peers.self().name(), random);
    Acknowledgement acknowledgement = new Acknowledgement(monitor);
    HeldTargets targets =
        new HeldTargets(configuration, peers, port, monitor, clock, settings, metrics, warmUps);
    FreshnessCheck freshness = new FreshnessCheck(monitor, settings.confirmTimeoutMs());
    ReplicaReads reads =
        new ReplicaReads(targets, peers, monitor, freshness, ids, settings, metrics);
    TransactionSteps steps = new TransactionSteps(monitor, acknowledgement, ids, metrics);
    FinishedTransactions finished =
        new FinishedTransactions(clock, settings.finishedTransactionRetentionMs());
    return new LocalHolder(
        targets,
        new LocalStatements(targets, peers, monitor, acknowledgement, reads, ids, metrics),
        new LocalTransactions(targets, peers, monitor, clock, ids, steps, finished),
        new LocalOutcomes(targets, monitor, port, acknowledgement),
        new LocalFloors(targets, monitor, port, acknowledgement),
        metrics);
  }
}
