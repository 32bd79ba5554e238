package io.lycheejunction.proxy.matrix;

import java.util.List;
import java.util.Set;

/**
 * The result of one run of a scenario.
 *
 * @param steps the operations of the numbered calls, in order
 * @param reached the boundaries that the scenario reached
 * @param injectedFaults the number of injected faults
 * @param violations the violated invariants
 */
record ScenarioRun(
    List<String> steps,
    List<StepFaultInjector.Boundary> reached,
    int injectedFaults,
    Set<String> violations) {
  private static final long SETTLE_MS = 700;
  private static final long WRITE_RECOVERY_LIMIT_MS = 5_000;
  private static final long CONFIGURATION_LIMIT_MS = 17_000;
  private static final long POLL_INTERVAL_MS = 500;

  /** Returns the result of the scenario with the planned faults and without the omitted rule. */
  static ScenarioRun execute(
      Scenario scenario,
      List<StepFaultInjector.PlannedFault> plannedFaults,
      SafetyRule omittedRule) {
    Fleet fleet = new Fleet(plannedFaults, omittedRule);
    scenario.run(fleet);
    fleet.advanceMs(SETTLE_MS);
    fleet.clearFaults();
    final long clearedMs = fleet.clock.monotonicMs();
    checkWritesSucceed(fleet, clearedMs);
    while (!fleet.history.isConfigurationInForce()
        && nowMs(fleet) < clearedMs + CONFIGURATION_LIMIT_MS) {
      fleet.advanceMs(POLL_INTERVAL_MS);
    }
    fleet.advanceMs(POLL_INTERVAL_MS);
    fleet.history.checkConfiguration();
    fleet.history.checkLog();
    return new ScenarioRun(
        fleet.injector.stepOperations(),
        fleet.injector.reachedBoundaries(),
        fleet.injector.injectedCount(),
        fleet.history.violations());
  }

  private static long nowMs(Fleet fleet) {
    return fleet.clock.monotonicMs();
  }

  private static void checkWritesSucceed(Fleet fleet, long clearedMs) {
    for (ProxyNode node : fleet.nodes()) {
      Caller caller = new Caller(fleet, "after-" + node.domain());
      boolean isDone = false;
      while (!isDone && nowMs(fleet) < clearedMs + WRITE_RECOVERY_LIMIT_MS) {
        isDone = caller.writeWithKey(List.of(node.domain()));
        fleet.advanceMs(50);
      }
      fleet.history.check(isDone, "writes did not succeed again within 5 s");
      caller.read(node.domain(), null);
    }
  }
}
