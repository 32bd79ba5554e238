package io.lycheejunction.proxy.matrix;

import io.lycheejunction.proxy.matrix.Steps.Boundary;
import io.lycheejunction.proxy.matrix.Steps.Strike;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Two faults in one run.
 *
 * @param seed the seed of the scenario and of the boundaries
 * @param scenario the scenario
 * @param strikes the faults with their boundaries
 * @param violations the invariants that did not hold
 */
record Pair(int seed, Scenario scenario, List<Strike> strikes, Set<String> violations) {
  /** Returns the result of both faults at sampled boundaries of a sampled scenario. */
  static Pair of(int seed, FaultKind first, FaultKind second, Map<Scenario, Run> plain) {
    Random random = new Random(seed);
    Scenario scenario = scenario(first, second, plain, random);
    List<Strike> strikes =
        List.of(
            strike(first, scenario, plain.get(scenario), random),
            strike(second, scenario, plain.get(scenario), random));
    Run run = Run.of(scenario, strikes, SafetyRule.ALL_ON);
    return new Pair(seed, scenario, strikes, run.violations());
  }

  private static Scenario scenario(
      FaultKind first, FaultKind second, Map<Scenario, Run> plain, Random random) {
    while (true) {
      Scenario scenario = Scenario.values()[random.nextInt(Scenario.values().length)];
      Run run = plain.get(scenario);
      if (!Cell.boundaries(first, scenario, run).isEmpty()
          && !Cell.boundaries(second, scenario, run).isEmpty()) {
        return scenario;
      }
    }
  }

  private static Strike strike(FaultKind fault, Scenario scenario, Run plain, Random random) {
    List<Boundary> all = Cell.boundaries(fault, scenario, plain);
    return new Strike(all.get(random.nextInt(all.size())), fault);
  }

  boolean isRed() {
    return !violations.isEmpty();
  }

  String name() {
    return "pair " + seed + " / " + scenario.title() + " / " + describe();
  }

  private String describe() {
    return strikes.stream()
        .map(s -> s.fault().title() + " at step " + s.at().step() + " " + s.at().side())
        .reduce((a, b) -> a + " and " + b)
        .orElse("");
  }
}
