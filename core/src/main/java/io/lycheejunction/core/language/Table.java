package io.lycheejunction.core.language;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The answer to a {@code show} statement.
 *
 * @param columns the names of the columns
 * @param rows the rows, each with one cell a column
 */
public record Table(List<String> columns, List<List<Cell>> rows) {
  private static final String GAP = "  ";

  /** Copies the lists. */
  public Table {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
  }

  /**
   * Returns the rows that a statement asks for, in its order.
   *
   * @param show the statement
   * @return the table, or {@code BAD_VALUE} for a column or value that does not fit
   */
  public Result<Table> select(Statement.Show show) {
    List<List<Cell>> kept = new ArrayList<>(rows);
    for (Statement.Comparison comparison : show.where()) {
      int column = columns.indexOf(comparison.column());
      if (column < 0) {
        return noColumn(comparison.column());
      }
      if (misfits(column, comparison)) {
        return Result.failure(
            ResultCode.BAD_VALUE,
            "column "
                + comparison.column()
                + " does not compare with "
                + comparison.value().show());
      }
      kept.removeIf(row -> !satisfies(row.get(column), comparison));
    }
    if (show.order().isPresent()) {
      int column = columns.indexOf(show.order().get().column());
      if (column < 0) {
        return noColumn(show.order().get().column());
      }
      kept.sort(ordering(column, show.order().get().descending()));
    }
    int limit = show.limit().orElse(kept.size());
    return Result.success(new Table(columns, kept.subList(0, Math.min(limit, kept.size()))));
  }

  private Result<Table> noColumn(String name) {
    return Result.failure(
        ResultCode.BAD_VALUE, "no column " + name + "; columns: " + String.join(", ", columns));
  }

  private boolean misfits(int column, Statement.Comparison comparison) {
    List<Cell> known =
        rows.stream().map(r -> r.get(column)).filter(c -> !(c instanceof Cell.Unknown)).toList();
    return !known.isEmpty()
        && known.stream().allMatch(c -> c.compare(comparison.value()).isEmpty());
  }

  private static boolean satisfies(Cell cell, Statement.Comparison comparison) {
    var order = cell.compare(comparison.value());
    return order.isPresent() && comparison.operator().accepts(order.getAsInt());
  }

  /** Unknown values go last in both directions. */
  private static Comparator<List<Cell>> ordering(int column, boolean descending) {
    Comparator<List<Cell>> byValue = (a, b) -> a.get(column).compare(b.get(column)).orElse(0);
    return Comparator.comparing((List<Cell> row) -> row.get(column) instanceof Cell.Unknown)
        .thenComparing(descending ? byValue.reversed() : byValue);
  }

  /**
   * Returns the table as text with aligned columns, a header first.
   *
   * @return the text, with a line break after each line
   */
  public String toText() {
    List<Integer> widths = new ArrayList<>();
    for (int i = 0; i < columns.size(); i++) {
      int column = i;
      widths.add(
          Math.max(
              columns.get(i).length(),
              rows.stream().mapToInt(r -> r.get(column).show().length()).max().orElse(0)));
    }
    StringBuilder text = new StringBuilder(line(columns, widths));
    for (List<Cell> row : rows) {
      text.append(line(row.stream().map(Cell::show).toList(), widths));
    }
    return text.toString();
  }

  private static String line(List<String> values, List<Integer> widths) {
    List<String> padded = new ArrayList<>();
    for (int i = 0; i < values.size(); i++) {
      padded.add(values.get(i) + " ".repeat(widths.get(i) - values.get(i).length()));
    }
    return padded.stream().collect(Collectors.joining(GAP)).stripTrailing() + "\n";
  }
}
