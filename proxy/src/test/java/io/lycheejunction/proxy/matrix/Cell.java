package io.lycheejunction.proxy.matrix;

import io.lycheejunction.proxy.matrix.Steps.Boundary;
import io.lycheejunction.proxy.matrix.Steps.Strike;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * What came of one fault at the steps of one scenario.
 *
 * @param fault the fault
 * @param scenario the scenario
 * @param boundaries the number of boundaries of its steps
 * @param runs the number of boundaries at which the fault struck
 * @param red the runs in which an invariant did not hold, with the invariants
 * @param impossible why the fault cannot strike, if it cannot
 */
record Cell(
    FaultKind fault,
    Scenario scenario,
    int boundaries,
    int runs,
    Map<String, Set<String>> red,
    Optional<String> impossible) {
  /** Returns the cell after striking at no more than the given number of boundaries. */
  static Cell of(FaultKind fault, Scenario scenario, Run plain, int limit, SafetyRule off) {
    Optional<String> reason = impossible(fault, scenario);
    if (reason.isPresent()) {
      return new Cell(fault, scenario, 0, 0, Map.of(), reason);
    }
    List<Boundary> all = boundaries(fault, scenario, plain);
    List<Boundary> chosen = sample(all, limit, new Random(seed(fault, scenario)));
    Map<String, Set<String>> red = new LinkedHashMap<>();
    for (Boundary at : chosen) {
      Run run = Run.of(scenario, List.of(new Strike(at, fault)), off);
      if (run.struck() != 1) {
        red.put(at.toString(), Set.of("the fault did not strike"));
      }
      if (!run.violations().isEmpty()) {
        red.put(plain.steps().get(at.step()) + " " + at, run.violations());
      }
    }
    return new Cell(fault, scenario, all.size(), chosen.size(), red, Optional.empty());
  }

  private static long seed(FaultKind fault, Scenario scenario) {
    return 100L * fault.ordinal() + scenario.ordinal();
  }

  private static Optional<String> impossible(FaultKind fault, Scenario scenario) {
    boolean writesTable = scenario == Scenario.CONFIGURATION_CHANGE;
    return fault == FaultKind.TABLE_REPLY_LOST && !writesTable
        ? Optional.of("the scenario writes nothing to the table")
        : Optional.empty();
  }

  static List<Boundary> boundaries(FaultKind fault, Scenario scenario, Run plain) {
    List<Boundary> all = new ArrayList<>();
    for (Boundary at : plain.reached()) {
      if (fault.strikesAt(plain.steps().get(at.step()), at.side(), scenario)) {
        all.add(at);
      }
    }
    return all;
  }

  private static List<Boundary> sample(List<Boundary> all, int limit, Random random) {
    List<Boundary> shuffled = new ArrayList<>(all);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, Math.min(limit, shuffled.size()));
  }

  String name() {
    return fault.title() + " / " + scenario.title();
  }

  boolean isRed() {
    return !red.isEmpty();
  }
}
