package io.lycheejunction.proxy.matrix;

import io.lycheejunction.proxy.matrix.StepFaultInjector.Boundary;
import io.lycheejunction.proxy.matrix.StepFaultInjector.PlannedFault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * The result of injecting one fault at the steps of one scenario.
 *
 * @param fault the injected fault
 * @param scenario the scenario that ran
 * @param boundaries the number of boundaries at which the fault can be injected
 * @param runs the number of those boundaries that were run, one run each
 * @param red the violated invariants of each failed run, by step and boundary
 * @param impossible the reason why the fault cannot occur, or empty if it can
 */
record MatrixCell(
    FaultKind fault,
    Scenario scenario,
    int boundaries,
    int runs,
    Map<String, Set<String>> red,
    Optional<String> impossible) {
  /** Returns the result of at most {@code maxRuns} runs, at boundaries drawn with a fixed seed. */
  static MatrixCell run(
      FaultKind fault,
      Scenario scenario,
      ScenarioRun baseline,
      int maxRuns,
      SafetyRule omittedRule) {
    Optional<String> reason = impossibleReason(fault, scenario);
    if (reason.isPresent()) {
      return new MatrixCell(fault, scenario, 0, 0, Map.of(), reason);
    }
    List<Boundary> all = boundaries(fault, scenario, baseline);
    List<Boundary> chosen = sample(all, maxRuns, new Random(seed(fault, scenario)));
    Map<String, Set<String>> red = new LinkedHashMap<>();
    for (Boundary boundary : chosen) {
      ScenarioRun run =
          ScenarioRun.execute(scenario, List.of(new PlannedFault(boundary, fault)), omittedRule);
      if (run.injectedFaults() != 1) {
        red.put(boundary.toString(), Set.of("the fault was not injected exactly once"));
      }
      if (!run.violations().isEmpty()) {
        red.put(baseline.steps().get(boundary.step()) + " " + boundary, run.violations());
      }
    }
    return new MatrixCell(fault, scenario, all.size(), chosen.size(), red, Optional.empty());
  }

  private static long seed(FaultKind fault, Scenario scenario) {
    return 100L * fault.ordinal() + scenario.ordinal();
  }

  private static Optional<String> impossibleReason(FaultKind fault, Scenario scenario) {
    boolean writesTable = scenario == Scenario.CONFIGURATION_CHANGE;
    return fault == FaultKind.TABLE_REPLY_LOST && !writesTable
        ? Optional.of("the scenario does not write to the platform table")
        : Optional.empty();
  }

  static List<Boundary> boundaries(FaultKind fault, Scenario scenario, ScenarioRun baseline) {
    List<Boundary> all = new ArrayList<>();
    for (Boundary boundary : baseline.reached()) {
      if (fault.canOccurAt(baseline.steps().get(boundary.step()), boundary.side(), scenario)) {
        all.add(boundary);
      }
    }
    return all;
  }

  private static List<Boundary> sample(List<Boundary> all, int maxRuns, Random random) {
    List<Boundary> shuffled = new ArrayList<>(all);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, Math.min(maxRuns, shuffled.size()));
  }

  String name() {
    return fault.title() + " / " + scenario.title();
  }

  boolean isRed() {
    return !red.isEmpty();
  }
}
