package io.lycheejunction.proxy.matrix;

import io.lycheejunction.proxy.matrix.StepFaultInjector.Boundary;
import io.lycheejunction.proxy.matrix.StepFaultInjector.PlannedFault;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The result of two faults in one run.
 *
 * @param seed the seed that selects the scenario and the boundaries
 * @param scenario the scenario that ran
 * @param plannedFaults the faults and the boundaries at which they are injected
 * @param violations the violated invariants
 */
record FaultPair(
    int seed, Scenario scenario, List<PlannedFault> plannedFaults, Set<String> violations) {
  /** Returns the result of both faults at random boundaries of a random scenario. */
  static FaultPair run(
      int seed, FaultKind first, FaultKind second, Map<Scenario, ScenarioRun> baselines) {
    Random random = new Random(seed);
    Scenario scenario = chooseScenario(first, second, baselines, random);
    List<PlannedFault> plannedFaults =
        List.of(
            planFault(first, scenario, baselines.get(scenario), random),
            planFault(second, scenario, baselines.get(scenario), random));
    ScenarioRun run = ScenarioRun.execute(scenario, plannedFaults, SafetyRule.ALL_ON);
    return new FaultPair(seed, scenario, plannedFaults, run.violations());
  }

  private static Scenario chooseScenario(
      FaultKind first, FaultKind second, Map<Scenario, ScenarioRun> baselines, Random random) {
    while (true) {
      Scenario scenario = Scenario.values()[random.nextInt(Scenario.values().length)];
      ScenarioRun baseline = baselines.get(scenario);
      if (!MatrixCell.boundaries(first, scenario, baseline).isEmpty()
          && !MatrixCell.boundaries(second, scenario, baseline).isEmpty()) {
        return scenario;
      }
    }
  }

  private static PlannedFault planFault(
      FaultKind fault, Scenario scenario, ScenarioRun baseline, Random random) {
    List<Boundary> boundaries = MatrixCell.boundaries(fault, scenario, baseline);
    return new PlannedFault(boundaries.get(random.nextInt(boundaries.size())), fault);
  }

  boolean isRed() {
    return !violations.isEmpty();
  }

  String name() {
    return "pair " + seed + " / " + scenario.title() + " / " + describe();
  }

  private String describe() {
    return plannedFaults.stream()
        .map(
            planned ->
                planned.fault().title()
                    + " at step "
                    + planned.at().step()
                    + " "
                    + planned.at().side())
        .reduce((left, right) -> left + " and " + right)
        .orElse("");
  }
}
