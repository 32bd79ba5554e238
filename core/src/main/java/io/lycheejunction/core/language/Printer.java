package io.lycheejunction.core.language;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.TargetSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Prints statements so that they parse back to themselves. */
public final class Printer {
  private Printer() {}

  /**
   * Returns the text of a statement with its condition.
   *
   * @param input the statement
   * @return the text
   */
  public static String print(Input input) {
    String statement = print(input.statement());
    return input.ifVersion().map(v -> statement + " if version " + v).orElse(statement);
  }

  private static String print(Statement statement) {
    return switch (statement) {
      case Statement.Show show -> print(show);
      case Statement.ShowChange(String id) -> "show change " + id;
      case Statement.Submit(Change change) -> print(change);
      case Statement.Shutdown(String proxy) -> "shutdown proxy " + proxy;
      case Statement.Promote(String target) -> "promote " + target;
    };
  }

  private static String print(Statement.Show show) {
    StringBuilder text = new StringBuilder("show ").append(Lexemes.spell(show.subject()));
    if (!show.where().isEmpty()) {
      text.append(" where ");
      text.append(show.where().stream().map(Printer::print).collect(Collectors.joining(" and ")));
    }
    show.order()
        .ifPresent(o -> text.append(" order by " + o.column() + (o.descending() ? " desc" : "")));
    show.limit().ifPresent(limit -> text.append(" limit ").append(limit));
    return text.toString();
  }

  private static String print(Statement.Comparison comparison) {
    return comparison.column()
        + " "
        + comparison.operator().symbol()
        + " "
        + print(comparison.value());
  }

  private static String print(Cell value) {
    return value instanceof Cell.Text(String text) && !text.matches(Lexemes.WORD_PATTERN)
        ? "'" + text + "'"
        : value.show();
  }

  /**
   * Returns the text of a change.
   *
   * @param change the change
   * @return the text
   */
  public static String print(Change change) {
    return switch (change) {
      case Change.CreateGroup c ->
          "create group %s %s slots %d connections %d"
              .formatted(c.name(), print(c.targets()), c.slots(), c.connections());
      case Change.AlterGroup c ->
          "alter group "
              + c.name()
              + c.targets().map(t -> " " + print(t)).orElse("")
              + c.slots().map(n -> " slots " + n).orElse("")
              + c.connections().map(n -> " connections " + n).orElse("");
      case Change.DropGroup(String name) -> "drop group " + name;
      case Change.CreateService(String name, String group, ServiceRules rules) ->
          "create service " + name + " on " + group + print(rules);
      case Change.AlterService(String name, ServiceRules rules) ->
          "alter service " + name + print(rules);
      case Change.DropService(String name) -> "drop service " + name;
      case Change.DrainTarget(String target, boolean drained) ->
          (drained ? "drain" : "undrain") + " target " + target;
    };
  }

  private static String print(List<TargetSpec> targets) {
    return targets.stream()
        .map(t -> t.name() + " in " + t.failureDomain() + " at " + t.address())
        .collect(Collectors.joining(", ", "targets (", ")"));
  }

  private static String print(ServiceRules rules) {
    List<String> parts = new ArrayList<>();
    rules.durability().ifPresent(v -> parts.add("durability=" + Lexemes.spell(v)));
    rules.maxAgeMs().ifPresent(v -> parts.add("max_age=" + Units.print(v)));
    rules.cutOffReads().ifPresent(v -> parts.add("cut_off_reads=" + Lexemes.spell(v)));
    rules.weight().ifPresent(v -> parts.add("weight=" + v));
    return parts.isEmpty() ? "" : " with " + String.join(", ", parts);
  }
}
