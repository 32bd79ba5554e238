package io.lycheejunction.proxy.matrix;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The results of all runs.
 *
 * @param baselines the run of each scenario without faults
 * @param cells the results of every fault at the steps of every scenario
 * @param pairs the results of all pairs of faults
 * @param omittedRules the results of omitting each safety rule
 */
record FaultMatrix(
    Map<Scenario, ScenarioRun> baselines,
    List<MatrixCell> cells,
    List<FaultPair> pairs,
    List<OmittedRule> omittedRules) {
  private static final int SAMPLED_BOUNDARIES = 4;
  private static final int FIRST_SEED = 1_000;

  /**
   * The result of omitting one safety rule.
   *
   * @param rule the omitted rule
   * @param failedCells the names of the cells in which an invariant was violated
   */
  record OmittedRule(SafetyRule rule, List<String> failedCells) {}

  /** Returns the results of a full run at all boundaries, or of a run at sampled boundaries. */
  static FaultMatrix run(boolean isFull) {
    int maxRuns = isFull ? Integer.MAX_VALUE : SAMPLED_BOUNDARIES;
    Map<Scenario, ScenarioRun> baselines = runBaselines(SafetyRule.ALL_ON);
    List<MatrixCell> cells = new ArrayList<>();
    for (FaultKind fault : FaultKind.values()) {
      for (Scenario scenario : Scenario.values()) {
        cells.add(
            MatrixCell.run(fault, scenario, baselines.get(scenario), maxRuns, SafetyRule.ALL_ON));
      }
    }
    List<OmittedRule> omittedRules = new ArrayList<>();
    for (SafetyRule rule : SafetyRule.values()) {
      if (rule != SafetyRule.ALL_ON) {
        omittedRules.add(runWithout(rule));
      }
    }
    return new FaultMatrix(baselines, cells, runPairs(baselines), omittedRules);
  }

  private static Map<Scenario, ScenarioRun> runBaselines(SafetyRule omittedRule) {
    Map<Scenario, ScenarioRun> runs = new EnumMap<>(Scenario.class);
    for (Scenario scenario : Scenario.values()) {
      runs.put(scenario, ScenarioRun.execute(scenario, List.of(), omittedRule));
    }
    return runs;
  }

  private static List<FaultPair> runPairs(Map<Scenario, ScenarioRun> baselines) {
    List<FaultPair> pairs = new ArrayList<>();
    for (FaultKind first : FaultKind.values()) {
      for (FaultKind second : FaultKind.values()) {
        if (first.compareTo(second) <= 0) {
          pairs.add(FaultPair.run(FIRST_SEED + pairs.size(), first, second, baselines));
        }
      }
    }
    return pairs;
  }

  private static OmittedRule runWithout(SafetyRule rule) {
    Map<Scenario, ScenarioRun> baselines = runBaselines(rule);
    List<String> failedCells = new ArrayList<>();
    for (Scenario scenario : Scenario.values()) {
      if (!baselines.get(scenario).violations().isEmpty()) {
        failedCells.add("no fault / " + scenario.title());
      }
    }
    for (FaultKind fault : FaultKind.values()) {
      int maxRuns = fault == rule.fault() ? Integer.MAX_VALUE : 1;
      MatrixCell cell =
          MatrixCell.run(fault, rule.scenario(), baselines.get(rule.scenario()), maxRuns, rule);
      if (cell.isRed()) {
        failedCells.add(cell.name());
      }
    }
    return new OmittedRule(rule, failedCells);
  }
}
