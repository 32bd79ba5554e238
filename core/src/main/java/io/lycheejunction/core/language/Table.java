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
 * @param rows the rows, each with one cell per column
 */
public record Table(List<String> columns, List<List<Cell>> rows) {
  private static final String COLUMN_SEPARATOR = "  ";

  /** Copies the lists. */
  public Table {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
  }

  /**
   * Returns the rows that a statement selects, in the requested order and up to its limit.
   *
   * @param show the statement
   * @return the table, or {@code BAD_VALUE} if a column does not exist or cannot be compared with
   *     the given value
   */
  public Result<Table> select(Statement.Show show) {
    List<List<Cell>> selected = new ArrayList<>(rows);
    for (Statement.Comparison comparison : show.where()) {
      int column = columns.indexOf(comparison.column());
      if (column < 0) {
        return unknownColumn(comparison.column());
      }
      if (isIncomparable(column, comparison)) {
        return Result.failure(
            ResultCode.BAD_VALUE,
            "column "
                + comparison.column()
                + " cannot be compared with "
                + comparison.value().show());
      }
      selected.removeIf(row -> !satisfies(row.get(column), comparison));
    }
    if (show.order().isPresent()) {
      int column = columns.indexOf(show.order().get().column());
      if (column < 0) {
        return unknownColumn(show.order().get().column());
      }
      selected.sort(ordering(column, show.order().get().descending()));
    }
    int limit = show.limit().orElse(selected.size());
    return Result.success(
        new Table(columns, selected.subList(0, Math.min(limit, selected.size()))));
  }

  private Result<Table> unknownColumn(String name) {
    return Result.failure(
        ResultCode.BAD_VALUE, "no column " + name + "; columns: " + String.join(", ", columns));
  }

  private boolean isIncomparable(int column, Statement.Comparison comparison) {
    List<Cell> known =
        rows.stream()
            .map(row -> row.get(column))
            .filter(cell -> !(cell instanceof Cell.Unknown))
            .toList();
    return !known.isEmpty()
        && known.stream().allMatch(cell -> cell.compare(comparison.value()).isEmpty());
  }

  private static boolean satisfies(Cell cell, Statement.Comparison comparison) {
    var order = cell.compare(comparison.value());
    return order.isPresent() && comparison.operator().accepts(order.getAsInt());
  }

  /** Orders rows by one column; unknown values are last in both directions. */
  private static Comparator<List<Cell>> ordering(int column, boolean descending) {
    Comparator<List<Cell>> byValue =
        (left, right) -> left.get(column).compare(right.get(column)).orElse(0);
    return Comparator.comparing((List<Cell> row) -> row.get(column) instanceof Cell.Unknown)
        .thenComparing(descending ? byValue.reversed() : byValue);
  }

  /**
   * Returns the table as text with a header line and aligned columns.
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
              rows.stream().mapToInt(row -> row.get(column).show().length()).max().orElse(0)));
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
    return padded.stream().collect(Collectors.joining(COLUMN_SEPARATOR)).stripTrailing() + "\n";
  }
}
