package io.lycheejunction.core.language;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.TargetSpec;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Generators of random statements of every kind. */
final class Statements {
  private Statements() {}

  static Arbitrary<ConditionalStatement> inputs() {
    Arbitrary<ConditionalStatement> changes =
        Combinators.combine(
                changes(), Arbitraries.longs().between(0, Long.MAX_VALUE / 100).optional())
            .as(
                (change, version) ->
                    new ConditionalStatement(new Statement.Submit(change), version));
    return Arbitraries.oneOf(
        changes,
        otherStatements().map(statement -> new ConditionalStatement(statement, Optional.empty())));
  }

  private static Arbitrary<String> names() {
    return Arbitraries.strings()
        .withCharRange('a', 'z')
        .numeric()
        .withChars('-')
        .ofMinLength(0)
        .ofMaxLength(10)
        .map(tail -> "n" + tail);
  }

  private static Arbitrary<Statement> otherStatements() {
    Arbitrary<Statement> show =
        Combinators.combine(
                Arbitraries.of(Statement.Subject.class),
                comparisons().list().ofMaxSize(3),
                Combinators.combine(columns(), Arbitraries.of(true, false))
                    .as(Statement.Order::new)
                    .optional(),
                Arbitraries.integers().between(0, 999_999_999).optional())
            .as(Statement.Show::new);
    Arbitrary<Statement> rest =
        Arbitraries.oneOf(
            names().map(Statement.ShowChange::new),
            names().map(Statement.Shutdown::new),
            names().map(Statement.Promote::new));
    return Arbitraries.oneOf(show, rest);
  }

  private static Arbitrary<String> columns() {
    return Arbitraries.of("lag", "target", "max_age", "version");
  }

  private static Arbitrary<Statement.Comparison> comparisons() {
    Arbitrary<Cell> values =
        Arbitraries.oneOf(
            names().map(Cell::text),
            Arbitraries.of("", "two words", "127.0.0.1:9001", "9s", "Ikeja").map(Cell::text),
            Arbitraries.longs().between(0, 1_000_000).map(Cell::count),
            Arbitraries.longs().between(0, 100_000_000).map(Cell::duration));
    return Combinators.combine(columns(), Arbitraries.of(Statement.Operator.class), values)
        .as(Statement.Comparison::new);
  }

  private static Arbitrary<Change> changes() {
    return Arbitraries.oneOf(
        Combinators.combine(names(), targets(), numbers(), numbers()).as(Change.CreateGroup::new),
        Combinators.combine(
                names(), targets().optional(), numbers().optional(), numbers().optional())
            .as(Change.AlterGroup::new),
        names().map(Change.DropGroup::new),
        Combinators.combine(names(), names(), rules()).as(Change.CreateService::new),
        Combinators.combine(names(), rules().filter(rules -> !rules.equals(ServiceRules.empty())))
            .as(Change.AlterService::new),
        names().map(Change.DropService::new),
        Combinators.combine(names(), Arbitraries.of(true, false)).as(Change.DrainTarget::new));
  }

  private static Arbitrary<Integer> numbers() {
    return Arbitraries.integers().between(0, 999_999_999);
  }

  private static Arbitrary<List<TargetSpec>> targets() {
    Arbitrary<String> addresses = Arbitraries.of("127.0.0.1:9001", "10.1.2.3:80", "[::1]:65535");
    return Combinators.combine(names(), names(), addresses)
        .as(TargetSpec::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(5);
  }

  private static Arbitrary<ServiceRules> rules() {
    return Combinators.combine(
            Arbitraries.of(Durability.class).optional(),
            Arbitraries.longs().between(0, 90_000_000).optional(),
            Arbitraries.of(CutOffReads.class).optional(),
            numbers().optional())
        .as(ServiceRules::new);
  }
}
