package io.lycheejunction.core.language;

import static io.lycheejunction.core.language.Lexemes.keyword;
import static io.lycheejunction.core.language.Lexemes.oneOf;
import static io.lycheejunction.core.language.Lexemes.symbol;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.TargetSpec;
import java.util.List;
import java.util.Optional;
import org.jparsec.Parser;
import org.jparsec.Parsers;

/** The grammar of the operator language. */
final class Grammar {
  /** The parser of a statement with its optional version condition. */
  static final Parser<ConditionalStatement> INPUT = Lexemes.skipLeadingWhitespace(input());

  private Grammar() {}

  private static Parser<ConditionalStatement> input() {
    Parser<Optional<Long>> condition =
        keyword("if").next(keyword("version")).next(Lexemes.LONG).asOptional();
    Parser<ConditionalStatement> change =
        Parsers.sequence(
            changes().<Statement>map(Statement.Submit::new), condition, ConditionalStatement::new);
    Parser<Statement> other = Parsers.or(show(), shutdown(), promote());
    return Parsers.or(
        other.map(statement -> new ConditionalStatement(statement, Optional.empty())), change);
  }

  private static Parser<Statement> shutdown() {
    return keyword("shutdown")
        .next(keyword("proxy"))
        .next(Lexemes.WORD)
        .map(Statement.Shutdown::new);
  }

  private static Parser<Statement> promote() {
    return keyword("promote").next(Lexemes.NAME).map(Statement.Promote::new);
  }

  private static Parser<Statement> show() {
    Parser<Statement> change =
        keyword("change").next(Lexemes.CHANGE_ID).map(Statement.ShowChange::new);
    return keyword("show").next(Parsers.or(table(), change));
  }

  private static Parser<Statement> table() {
    Parser<List<Statement.Comparison>> where =
        keyword("where").next(comparison().sepBy1(keyword("and"))).optional(List.of());
    Parser<Boolean> descending =
        Parsers.or(keyword("desc").retn(true), keyword("asc").retn(false)).optional(false);
    Parser<Statement.Order> order =
        keyword("order")
            .next(keyword("by"))
            .next(Parsers.sequence(Lexemes.COLUMN, descending, Statement.Order::new));
    Parser<Integer> limit = keyword("limit").next(Lexemes.NUMBER);
    return Parsers.sequence(
        oneOf(Statement.Subject.class),
        where,
        order.asOptional(),
        limit.asOptional(),
        Statement.Show::new);
  }

  private static Parser<Statement.Comparison> comparison() {
    Parser<Statement.Operator> operator = Parsers.never();
    for (Statement.Operator candidate : Statement.Operator.values()) {
      operator = Parsers.or(operator, symbol(candidate.symbol()).retn(candidate));
    }
    Parser<Cell> value =
        Parsers.or(
            Lexemes.DURATION.map(Cell::duration),
            Lexemes.LONG.map(Cell::count),
            Lexemes.QUOTED.map(Cell::text),
            Lexemes.WORD.map(Cell::text));
    return Parsers.sequence(Lexemes.COLUMN, operator, value, Statement.Comparison::new);
  }

  private static Parser<Change> changes() {
    return Parsers.or(
        keyword("create").next(Parsers.or(createGroup(), createService())),
        keyword("alter").next(Parsers.or(alterGroup(), alterService())),
        keyword("drop").next(Parsers.or(dropGroup(), dropService())),
        drain("drain", true),
        drain("undrain", false));
  }

  private static Parser<Change> drain(String verb, boolean drained) {
    return keyword(verb)
        .next(keyword("target"))
        .next(Lexemes.NAME)
        .map(target -> new Change.DrainTarget(target, drained));
  }

  private static Parser<Change> createGroup() {
    return keyword("group")
        .next(
            Parsers.sequence(
                Lexemes.NAME,
                targets(),
                numberAfter("slots"),
                numberAfter("connections"),
                Change.CreateGroup::new));
  }

  private static Parser<Change> alterGroup() {
    return keyword("group")
        .next(
            Parsers.sequence(
                Lexemes.NAME,
                targets().asOptional(),
                numberAfter("slots").asOptional(),
                numberAfter("connections").asOptional(),
                Change.AlterGroup::new));
  }

  private static Parser<Change> dropGroup() {
    return keyword("group").next(Lexemes.NAME).map(Change.DropGroup::new);
  }

  private static Parser<Integer> numberAfter(String keyword) {
    return keyword(keyword).next(Lexemes.NUMBER);
  }

  private static Parser<List<TargetSpec>> targets() {
    Parser<TargetSpec> target =
        Parsers.sequence(
            Lexemes.NAME,
            keyword("in").next(Lexemes.NAME),
            keyword("at").next(Lexemes.ADDRESS),
            TargetSpec::new);
    return keyword("targets").next(target.sepBy1(symbol(",")).between(symbol("("), symbol(")")));
  }

  private static Parser<Change> createService() {
    return keyword("service")
        .next(
            Parsers.sequence(
                Lexemes.NAME,
                keyword("on").next(Lexemes.NAME),
                keyword("with").next(rules()).optional(ServiceRules.empty()),
                Change.CreateService::new));
  }

  private static Parser<Change> alterService() {
    return keyword("service")
        .next(
            Parsers.sequence(
                Lexemes.NAME, keyword("with").next(rules()), Change.AlterService::new));
  }

  private static Parser<Change> dropService() {
    return keyword("service").next(Lexemes.NAME).map(Change.DropService::new);
  }

  private static Parser<ServiceRules> rules() {
    Parser<ServiceRules> rule =
        Parsers.or(
            rule("durability", oneOf(Durability.class)).map(Grammar::durability),
            rule("max_age", Lexemes.DURATION).map(Grammar::maxAgeMs),
            rule("cut_off_reads", oneOf(CutOffReads.class)).map(Grammar::cutOffReads),
            rule("weight", Lexemes.NUMBER).map(Grammar::weight));
    return rule.sepBy1(symbol(",")).next(Grammar::mergeRules);
  }

  private static Parser<ServiceRules> mergeRules(List<ServiceRules> rules) {
    ServiceRules merged = ServiceRules.empty();
    for (ServiceRules rule : rules) {
      if (merged.overlaps(rule)) {
        return Parsers.expect("each rule once");
      }
      merged = merged.merge(rule);
    }
    return Parsers.constant(merged);
  }

  private static <T> Parser<T> rule(String name, Parser<T> value) {
    return keyword(name).next(symbol("=")).next(value);
  }

  private static ServiceRules durability(Durability value) {
    return new ServiceRules(
        Optional.of(value), Optional.empty(), Optional.empty(), Optional.empty());
  }

  private static ServiceRules maxAgeMs(long value) {
    return new ServiceRules(
        Optional.empty(), Optional.of(value), Optional.empty(), Optional.empty());
  }

  private static ServiceRules cutOffReads(CutOffReads value) {
    return new ServiceRules(
        Optional.empty(), Optional.empty(), Optional.of(value), Optional.empty());
  }

  private static ServiceRules weight(int value) {
    return new ServiceRules(
        Optional.empty(), Optional.empty(), Optional.empty(), Optional.of(value));
  }
}
