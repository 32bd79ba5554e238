package io.lycheejunction.core.language;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.language.OperatorLanguage.Parsed;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OperatorLanguageTest {

  @Provide
  Arbitrary<ConditionalStatement> inputs() {
    return Statements.inputs();
  }

  @Provide
  Arbitrary<String> randomTexts() {
    Arbitrary<String> words =
        Arbitraries.of(
            "show",
            "create",
            "group",
            "targets",
            "(",
            ")",
            ",",
            "=",
            "in",
            "at",
            "2s",
            "7",
            "if",
            "version",
            "where",
            "lag",
            ">",
            "with",
            "weight",
            "'",
            "\n",
            "\u0001",
            "99999999999999",
            "127.0.0.1:1",
            "name");
    return Arbitraries.oneOf(
        Arbitraries.strings().ofMaxLength(60),
        words.list().ofMaxSize(12).map(chosen -> String.join(" ", chosen)));
  }

  @Property(seed = "20261204")
  void shouldParseToSameStatementWhenPrinted(@ForAll("inputs") ConditionalStatement input) {
    assertEquals(new Parsed.Complete(input), OperatorLanguage.parse(Printer.print(input)));
  }

  @Property(seed = "20261204")
  void shouldReportPositionInsideTextWhenInputIsRandom(@ForAll("randomTexts") String text) {
    if (OperatorLanguage.parse(text) instanceof Parsed.Invalid(SyntaxError error)) {
      assertTrue(error.column() >= 1 && error.column() <= text.length() + 1, error.describe());
      assertTrue(!error.expected().isEmpty(), "expected is empty");
    }
  }

  @Property(seed = "20261204")
  void shouldReportPositionInsideTextWhenStatementIsTruncated(
      @ForAll("inputs") ConditionalStatement input) {
    String text = Printer.print(input);
    for (int end = 0; end < text.length(); end++) {
      if (OperatorLanguage.parse(text.substring(0, end))
          instanceof Parsed.Invalid(SyntaxError error)) {
        assertTrue(error.column() <= end + 1, error.describe());
      }
    }
  }

  @Nested
  class Parse {
    @Test
    void shouldParseGroupWhenTargetsAreListed() {
      Parsed parsed =
          OperatorLanguage.parse(
              "create group orders-1 targets (a1 in ikeja at 127.0.0.1:9001, "
                  + "a2 in lekki at 127.0.0.1:9002) slots 3 connections 20 if version 7");
      Change group =
          new Change.CreateGroup(
              "orders-1",
              List.of(
                  new TargetSpec("a1", "ikeja", "127.0.0.1:9001"),
                  new TargetSpec("a2", "lekki", "127.0.0.1:9002")),
              3,
              20);
      assertEquals(
          new Parsed.Complete(
              new ConditionalStatement(new Statement.Submit(group), Optional.of(7L))),
          parsed);
    }

    @Test
    void shouldReportColumnAndExpectedTokensWhenWordIsUnknown() {
      Parsed.Invalid invalid =
          assertInstanceOf(Parsed.Invalid.class, OperatorLanguage.parse("create grope x"));
      assertEquals(new SyntaxError(8, List.of("group", "service"), "'grope'"), invalid.error());
    }

    @Test
    void shouldExpectUnitWhenDurationHasNone() {
      Parsed.Invalid invalid =
          assertInstanceOf(
              Parsed.Invalid.class, OperatorLanguage.parse("alter service s with max_age=2"));
      assertEquals(30, invalid.error().column());
      assertEquals(List.of("duration with ms, s, m or h"), invalid.error().expected());
    }

    @Test
    void shouldRejectStatementWhenItIsTooLong() {
      assertInstanceOf(Parsed.Invalid.class, OperatorLanguage.parse("show config".repeat(1_000)));
    }

    @Test
    void shouldRejectStatementWhenRuleIsGivenTwice() {
      assertInstanceOf(
          Parsed.Invalid.class, OperatorLanguage.parse("alter service s with weight=1, weight=2"));
    }
  }

  @Nested
  class ExpectedAfter {
    @Test
    void shouldListSubjectsWhenShowBegins() {
      assertTrue(OperatorLanguage.expectedAfter("show").containsAll(List.of("lag", "change")));
    }

    @Test
    void shouldListNothingWhenBeginningIsInvalid() {
      assertEquals(List.of(), OperatorLanguage.expectedAfter("shaw"));
    }

    @Test
    void shouldListClausesWhenStatementIsComplete() {
      assertTrue(OperatorLanguage.expectedAfter("show lag").containsAll(List.of("where", "order")));
    }
  }
}
