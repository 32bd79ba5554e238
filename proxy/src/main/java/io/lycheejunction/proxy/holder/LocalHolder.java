package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.group.GroupWatch;
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
      GroupWatch watch,
      TargetPort port,
      RuntimeClock clock,
      RandomGenerator random,
      MeterRegistry registry,
      Executor warmUps,
      HolderSettings settings) {
    HolderMetrics metrics = new HolderMetrics(registry);
    CorrelationIds ids = new CorrelationIds(peers.self().name(), random);
    Acknowledgement acknowledgement = new Acknowledgement(watch);
    HeldTargets targets =
        new HeldTargets(configuration, peers, port, watch, clock, settings, metrics, warmUps);
    FreshnessCheck freshness = new FreshnessCheck(watch, settings.confirmMs());
    ReplicaReads reads = new ReplicaReads(targets, peers, watch, freshness, ids, settings, metrics);
    TransactionSteps steps = new TransactionSteps(watch, acknowledgement, ids, metrics);
    FinishedTransactions finished =
        new FinishedTransactions(clock, settings.finishedTransactionRetentionMs());
    return new LocalHolder(
        targets,
        new LocalStatements(targets, peers, watch, acknowledgement, reads, ids, metrics),
        new LocalTransactions(targets, peers, watch, clock, ids, steps, finished),
        new LocalOutcomes(targets, watch, port, acknowledgement),
        new LocalFloors(targets, watch, port, acknowledgement),
        metrics);
  }
}
