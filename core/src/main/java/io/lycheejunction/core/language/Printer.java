package io.lycheejunction.core.language;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.TargetSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Prints statements in the operator language; parsing the text yields an equal statement. */
public final class Printer {
  private Printer() {}

  /**
   * Returns the text of a statement with its optional version condition.
   *
   * @param input the statement
   * @return the text
   */
  public static String print(ConditionalStatement input) {
    String statement = print(input.statement());
    return input.ifVersion().map(version -> statement + " if version " + version).orElse(statement);
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
    StringBuilder text = new StringBuilder("show ").append(Lexemes.keywordOf(show.subject()));
    if (!show.where().isEmpty()) {
      text.append(" where ");
      text.append(show.where().stream().map(Printer::print).collect(Collectors.joining(" and ")));
    }
    show.order()
        .ifPresent(
            order ->
                text.append(" order by " + order.column() + (order.descending() ? " desc" : "")));
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
      case Change.CreateGroup create ->
          "create group %s %s slots %d connections %d"
              .formatted(
                  create.name(), print(create.targets()), create.slots(), create.connections());
      case Change.AlterGroup alter ->
          "alter group "
              + alter.name()
              + alter.targets().map(targets -> " " + print(targets)).orElse("")
              + alter.slots().map(slots -> " slots " + slots).orElse("")
              + alter.connections().map(connections -> " connections " + connections).orElse("");
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
        .map(target -> target.name() + " in " + target.failureDomain() + " at " + target.address())
        .collect(Collectors.joining(", ", "targets (", ")"));
  }

  private static String print(ServiceRules rules) {
    List<String> parts = new ArrayList<>();
    rules.durability().ifPresent(value -> parts.add("durability=" + Lexemes.keywordOf(value)));
    rules.maxAgeMs().ifPresent(valueMs -> parts.add("max_age=" + Durations.print(valueMs)));
    rules.cutOffReads().ifPresent(value -> parts.add("cut_off_reads=" + Lexemes.keywordOf(value)));
    rules.weight().ifPresent(value -> parts.add("weight=" + value));
    return parts.isEmpty() ? "" : " with " + String.join(", ", parts);
  }
}
