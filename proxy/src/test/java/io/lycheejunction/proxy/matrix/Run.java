package io.lycheejunction.proxy.matrix;

import java.util.List;
import java.util.Set;

/**
 * What came of one run of a scenario.
 *
 * @param steps the port calls of the scenario, in order
 * @param reached the boundaries that the scenario reached
 * @param struck the faults that struck
 * @param violations the invariants that did not hold
 */
record Run(List<String> steps, List<Steps.Boundary> reached, int struck, Set<String> violations) {
  private static final long AFTER_MS = 700;
  private static final long WRITES_LIMIT_MS = 5_000;
  private static final long CONFIGURATION_LIMIT_MS = 17_000;
  private static final long STEP_MS = 500;

  /** Returns the result of the scenario under the faults. */
  static Run of(Scenario scenario, List<Steps.Strike> strikes, SafetyRule off) {
    Fleet fleet = new Fleet(strikes, off);
    scenario.play(fleet);
    fleet.run(AFTER_MS);
    fleet.heal();
    final long healedMs = fleet.clock.monotonicMs();
    writeAgain(fleet, healedMs);
    while (!fleet.history.isInForce() && now(fleet) < healedMs + CONFIGURATION_LIMIT_MS) {
      fleet.run(STEP_MS);
    }
    fleet.run(STEP_MS);
    fleet.history.checkConfiguration();
    fleet.history.checkLog();
    return new Run(
        fleet.steps.seen(),
        fleet.steps.reached(),
        fleet.steps.struck(),
        fleet.history.violations());
  }

  private static long now(Fleet fleet) {
    return fleet.clock.monotonicMs();
  }

  private static void writeAgain(Fleet fleet, long healedMs) {
    for (Node node : fleet.nodes()) {
      Caller caller = new Caller(fleet, "after-" + node.domain());
      boolean done = false;
      while (!done && now(fleet) < healedMs + WRITES_LIMIT_MS) {
        done = caller.keyed(List.of(node.domain()));
        fleet.run(50);
      }
      fleet.history.check(done, "writes did not succeed again within 5 s");
      caller.read(node.domain(), null);
    }
  }
}
