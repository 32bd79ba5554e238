package io.lycheejunction.proxy.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Renders the results of the fault matrix as a Markdown page. */
final class FaultMatrixPage {
  private static final String HEAD =
      """
      # Fault matrix

      Written by the test `FaultMatrixTest` from what ran; a test fails when this page is out of
      date. To write it again, run with the environment variable `LYCHEEJUNCTION_WRITE_MATRIX=true`:
      `mvn -pl proxy -am -Dtest=FaultMatrixTest -Dsurefire.failIfNoSpecifiedTests=false package`.
      With `LYCHEEJUNCTION_FULL_MATRIX=true` every boundary is run, which the page does not show.

      ## How to read it

      - The production classes of three proxies, one in each failure domain, run over the modelled
        group of three instances and the modelled platform, in one thread and on one clock.
      - A step is one call of a port or of a peer during a scenario. Each step has two boundaries:
        before the effect, and after the effect but before the reply. A fault strikes at one
        boundary. Then the scenario goes on to its end, the fault is healed, writes and reads
        follow, and the callers' records are compared with the logs of the instances.
      - `passed 4` means: of the boundaries at which the fault can strike, 4 were drawn with a
        fixed seed and run, and all invariants held in each. Fewer are run where fewer exist.
      - `FAILED` names the cells in which an invariant did not hold; they are also in KNOWN-RED.txt.
      - `-` means impossible; the reason is below the table.
      - An unkeyed statement is never carried out twice by a transport, so "answer duplicated" is
        not struck at statements without a key. Elsewhere the whole call is carried out twice.
      - Periodic steps of a proxy that wait for a silent server do not hold up its other work.

      Invariants, checked in every run: a caller reads its own writes, also after roaming; no
      replaced primary is allowed to acknowledge, and no acknowledged write is missing in the log
      of a later primary; an acknowledged write is in the final log exactly once; no write runs
      twice; what was refused as not run is not in the final log; a caller receives only rows of
      its own request; each log entry holds the statements of one request or transaction; a leaving
      target gets no new work after 3 s; what is in flight at a shutdown is not cut off; the
      configuration never reverts and is in force everywhere within 17 s of healing; writes succeed
      again within 5 s of healing.
      """;

  private static final String TERM_FIRST_NOTE =
      """

      The term-first compare alone turns nothing red: a read shows only a position that a majority
      is known to have, and that check also refuses an old primary's suffix. With both left out, a
      caller reads that suffix in place of its own write.
      """;

  private final StringBuilder text = new StringBuilder();

  private FaultMatrixPage() {}

  /** Returns the page as Markdown text. */
  static String render(FaultMatrix matrix) {
    FaultMatrixPage page = new FaultMatrixPage();
    page.text.append(HEAD);
    page.appendCells(matrix);
    page.appendFailedCells(matrix);
    page.appendPairs(matrix);
    page.appendOmittedRules(matrix);
    return page.text.toString();
  }

  private void appendLine(String line) {
    text.append(line).append('\n');
  }

  private void appendRow(List<String> columns) {
    appendLine("| " + String.join(" | ", columns) + " |");
  }

  private void appendCells(FaultMatrix matrix) {
    appendLine("\n## Every fault at the steps of every scenario\n");
    List<String> head = new ArrayList<>(List.of("fault"));
    List.of(Scenario.values()).forEach(scenario -> head.add(scenario.title()));
    appendRow(head);
    appendRow(head.stream().map(column -> "---").toList());
    for (FaultKind fault : FaultKind.values()) {
      List<String> columns = new ArrayList<>(List.of(fault.title()));
      matrix.cells().stream()
          .filter(cell -> cell.fault() == fault)
          .forEach(cell -> columns.add(result(cell)));
      appendRow(columns);
    }
    int runs = matrix.cells().stream().mapToInt(MatrixCell::runs).sum();
    appendLine("\n" + runs + " boundaries were run.");
    appendLine("\nImpossible:\n");
    matrix.cells().stream()
        .filter(cell -> cell.impossible().isPresent())
        .forEach(cell -> appendLine("- " + cell.name() + ": " + cell.impossible().get()));
  }

  private static String result(MatrixCell cell) {
    if (cell.impossible().isPresent()) {
      return "-";
    }
    return (cell.isRed() ? "FAILED " + cell.red().size() + " of " : "passed ") + cell.runs();
  }

  private void appendFailedCells(FaultMatrix matrix) {
    appendLine("\n## Failed cells\n");
    List<MatrixCell> failed = matrix.cells().stream().filter(MatrixCell::isRed).toList();
    if (failed.isEmpty()) {
      appendLine("None.");
    }
    for (MatrixCell cell : failed) {
      appendLine("- " + cell.name());
      cell.red()
          .forEach(
              (boundary, violations) ->
                  appendLine("  - " + boundary + ": " + new TreeSet<>(violations)));
    }
  }

  private void appendPairs(FaultMatrix matrix) {
    appendLine("\n## All pairs of faults\n");
    List<FaultPair> failed = matrix.pairs().stream().filter(FaultPair::isRed).toList();
    appendLine(
        "%d pairs, also of a fault with itself, each at one boundary for each fault of one"
            .concat(" scenario, with the seeds %d to %d; %d failed.")
            .formatted(
                matrix.pairs().size(),
                matrix.pairs().getFirst().seed(),
                matrix.pairs().getLast().seed(),
                failed.size()));
    failed.forEach(
        pair -> appendLine("- " + pair.name() + ": " + new TreeSet<>(pair.violations())));
  }

  private void appendOmittedRules(FaultMatrix matrix) {
    appendLine("\n## Without each safety rule\n");
    appendLine(
        "Each rule is left out in turn, by decorators of the ports and of the watch in the tests.");
    appendLine(
        "Run are: each scenario without a fault, one scenario under every fault at one boundary,");
    appendLine("and under one fault at every boundary.\n");
    appendRow(List.of("rule left out", "cells that turn red"));
    appendRow(List.of("---", "---"));
    for (FaultMatrix.OmittedRule rule : matrix.omittedRules()) {
      String failed = rule.failedCells().isEmpty() ? "none" : String.join("; ", rule.failedCells());
      appendRow(List.of(rule.rule().title(), failed));
    }
    text.append(TERM_FIRST_NOTE);
  }
}
