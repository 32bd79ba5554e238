package io.lycheejunction.proxy.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Renders the results of the fault matrix as a Markdown page. */
final class FaultMatrixPage {
  private static final String HEAD =
      """
      # Fault matrix

      `FaultMatrixTest` generates this page from its runs, and fails if the page is out of date. To
      generate it again, run with the environment variable `LYCHEEJUNCTION_WRITE_MATRIX=true`:
      `mvn -pl proxy -am -Dtest=FaultMatrixTest -Dsurefire.failIfNoSpecifiedTests=false package`.
      With `LYCHEEJUNCTION_FULL_MATRIX=true` every boundary is run, but not shown on this page.

      ## How to read it

      - The production classes of three proxies, one in each failure domain, run against a model of
        a group of three instances and a model of the platform, in one thread and on one clock.
      - A step is one call to a port or to a peer during a scenario. Each step has two boundaries:
        before the effect, and after the effect but before the reply. A fault is injected at one
        boundary. Then the scenario runs to its end, the fault is cleared, writes and reads
        follow, and the callers' records are compared with the logs of the instances.
      - `passed 4` means: of the boundaries at which the fault can be injected, 4 were drawn with a
        fixed seed and run, and all invariants held in each run. Cells with fewer boundaries run
        all of them.
      - `FAILED` marks the cells in which an invariant was violated; they are also in KNOWN-RED.txt.
      - `-` means that the fault cannot occur in the scenario; the reason is below the table.
      - A transport never runs a statement without an idempotency key twice, so "answer duplicated"
        is not injected at such statements. Elsewhere the whole call runs twice.
      - A periodic task of a proxy that waits for an unresponsive server does not delay the other
        work of the proxy.

      Invariants, checked in every run:

      - A caller reads its own writes, also through another proxy.
      - A replaced primary is not allowed to acknowledge, and no acknowledged write is missing from
        the log of a later primary.
      - An acknowledged write is in the final log exactly once.
      - No write runs twice.
      - A write that was refused as not run is not in the final log.
      - A caller receives only rows of its own request.
      - Each log entry holds the statements of one request or transaction.
      - A leaving target gets no new work after 3 s.
      - A shutdown does not cut off requests or transactions in flight.
      - The configuration never reverts and is in force everywhere within 17 s after the fault is
        cleared.
      - Writes succeed again within 5 s after the fault is cleared.
      """;

  private static final String TERM_FIRST_NOTE =
      """

      Omitting only the term-first comparison fails no cell: a read shows only a position that a
      majority is known to have, and that check also refuses the log suffix of an old primary. With
      both rules omitted, a caller reads that suffix in place of its own write.
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
    appendLine("\nCombinations that cannot occur:\n");
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
        "%d pairs, including each fault with itself. Each pair runs in one scenario, with each"
            .concat(" fault at one boundary; seeds %d to %d; %d failed.")
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
        "Each rule is omitted in turn, by test decorators of the ports and of the group monitor.");
    appendLine(
        "Without the rule, each scenario runs without a fault, one scenario runs with every fault");
    appendLine(
        "at one boundary each, and the same scenario runs with one fault at every boundary.\n");
    appendRow(List.of("omitted rule", "failed cells"));
    appendRow(List.of("---", "---"));
    for (FaultMatrix.OmittedRule rule : matrix.omittedRules()) {
      String failed = rule.failedCells().isEmpty() ? "none" : String.join("; ", rule.failedCells());
      appendRow(List.of(rule.rule().title(), failed));
    }
    text.append(TERM_FIRST_NOTE);
  }
}
