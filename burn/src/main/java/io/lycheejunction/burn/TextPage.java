package io.lycheejunction.burn;

import io.lycheejunction.core.burn.ObjectiveBurn;
import io.lycheejunction.core.burn.ObjectiveBurn.PairBurn;
import io.lycheejunction.core.language.Cell;
import io.lycheejunction.core.language.Table;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats the report as plain text. */
final class TextPage {
  private static final List<String> BURN_COLUMNS =
      List.of("service", "objective", "status", "5m/1h", "30m/6h", "6h/3d", "budget left in 30d");
  private static final List<String> REFUSAL_COLUMNS = List.of("service", "code", "name", "count");

  private TextPage() {}

  static String of(Report report) {
    List<List<Cell>> burns = report.burns().stream().map(TextPage::burnRow).toList();
    List<List<Cell>> refusals = report.refusals().stream().map(TextPage::refusalRow).toList();
    return report.headline()
        + "\n"
        + report.gapsLine()
        + "\n\nBurn rates (alert above 14.4, 6 and 1 in both windows of a pair)\n"
        + new Table(BURN_COLUMNS, burns).toText()
        + "\nWorst refusals of the last 6 hours\n"
        + (refusals.isEmpty() ? "none counted\n" : new Table(REFUSAL_COLUMNS, refusals).toText());
  }

  private static List<Cell> burnRow(ObjectiveBurn burn) {
    List<Cell> cells = new ArrayList<>();
    cells.add(Cell.text(burn.service()));
    cells.add(Cell.text(burn.objective().name().toLowerCase(Locale.ROOT)));
    cells.add(Cell.text(burn.status().name().toLowerCase(Locale.ROOT)));
    burn.pairs().forEach(pair -> cells.add(Cell.text(formatPair(pair))));
    cells.add(Cell.text(burn.budgetLeft()));
    return cells;
  }

  /** Returns the rates of a pair of windows, followed by {@code !} if they raise an alert. */
  static String formatPair(PairBurn pair) {
    return pair.shorter().show() + " / " + pair.longer().show() + (pair.isAlert() ? " !" : "");
  }

  private static List<Cell> refusalRow(Report.Refusal refusal) {
    return List.of(
        Cell.text(refusal.service()),
        Cell.count(refusal.code()),
        Cell.text(refusal.name()),
        Cell.count(refusal.count()));
  }
}
