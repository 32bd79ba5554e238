package io.lycheejunction.proxy.matrix;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The results of the whole suite.
 *
 * @param plain the runs without faults
 * @param cells every fault at the steps of every scenario
 * @param pairs all pairs of faults
 * @param broken what turned red without each safety rule
 */
record Matrix(
    Map<Scenario, Run> plain, List<Cell> cells, List<Pair> pairs, List<BrokenRule> broken) {
  private static final int SAMPLED_BOUNDARIES = 4;
  private static final int FIRST_SEED = 1_000;

  /**
   * What turned red without a safety rule.
   *
   * @param rule the rule
   * @param red the names of the red cells
   */
  record BrokenRule(SafetyRule rule, List<String> red) {}

  /** Returns the results, at sampled or at all boundaries of each step. */
  static Matrix run(boolean isFull) {
    int limit = isFull ? Integer.MAX_VALUE : SAMPLED_BOUNDARIES;
    Map<Scenario, Run> plain = plain(SafetyRule.ALL_ON);
    List<Cell> cells = new ArrayList<>();
    for (FaultKind fault : FaultKind.values()) {
      for (Scenario scenario : Scenario.values()) {
        cells.add(Cell.of(fault, scenario, plain.get(scenario), limit, SafetyRule.ALL_ON));
      }
    }
    List<BrokenRule> broken = new ArrayList<>();
    for (SafetyRule rule : SafetyRule.values()) {
      if (rule != SafetyRule.ALL_ON) {
        broken.add(without(rule));
      }
    }
    return new Matrix(plain, cells, pairs(plain), broken);
  }

  private static Map<Scenario, Run> plain(SafetyRule off) {
    Map<Scenario, Run> runs = new EnumMap<>(Scenario.class);
    for (Scenario scenario : Scenario.values()) {
      runs.put(scenario, Run.of(scenario, List.of(), off));
    }
    return runs;
  }

  private static List<Pair> pairs(Map<Scenario, Run> plain) {
    List<Pair> pairs = new ArrayList<>();
    for (FaultKind first : FaultKind.values()) {
      for (FaultKind second : FaultKind.values()) {
        if (first.compareTo(second) <= 0) {
          pairs.add(Pair.of(FIRST_SEED + pairs.size(), first, second, plain));
        }
      }
    }
    return pairs;
  }

  private static BrokenRule without(SafetyRule rule) {
    Map<Scenario, Run> plain = plain(rule);
    List<String> red = new ArrayList<>();
    for (Scenario scenario : Scenario.values()) {
      if (!plain.get(scenario).violations().isEmpty()) {
        red.add("no fault / " + scenario.title());
      }
    }
    for (FaultKind fault : FaultKind.values()) {
      int limit = fault == rule.fault() ? Integer.MAX_VALUE : 1;
      Cell cell = Cell.of(fault, rule.scenario(), plain.get(rule.scenario()), limit, rule);
      if (cell.isRed()) {
        red.add(cell.name());
      }
    }
    return new BrokenRule(rule, red);
  }
}
