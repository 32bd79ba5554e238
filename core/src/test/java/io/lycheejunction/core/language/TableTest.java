package io.lycheejunction.core.language;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.lycheejunction.core.language.OperatorLanguage.Parsed;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableTest {
  private static final Table LAG =
      new Table(
          List.of("target", "lag"),
          List.of(
              List.of(Cell.text("a1"), Cell.duration(1_500)),
              List.of(Cell.text("a2"), Cell.unknown()),
              List.of(Cell.text("b1"), Cell.duration(4_000))));

  private static Result<Table> select(String text) {
    Parsed.Complete parsed = assertInstanceOf(Parsed.Complete.class, OperatorLanguage.parse(text));
    return LAG.select((Statement.Show) parsed.input().statement());
  }

  @Nested
  class Select {
    @Test
    void shouldCompareDurationsWhenUnitsDiffer() {
      assertEquals(
          Result.success(new Table(LAG.columns(), List.of(LAG.rows().get(2)))),
          select("show lag where lag > 2s"));
    }

    @Test
    void shouldPutUnknownValuesLastWhenDescending() {
      assertEquals(
          Result.success(
              new Table(
                  LAG.columns(), List.of(LAG.rows().get(2), LAG.rows().get(0), LAG.rows().get(1)))),
          select("show lag order by lag desc"));
    }

    @Test
    void shouldReturnFirstRowsWhenLimitIsGiven() {
      assertEquals(
          Result.success(new Table(LAG.columns(), LAG.rows().subList(0, 1))),
          select("show lag limit 1"));
    }

    @Test
    void shouldRejectConditionWhenColumnOrKindOfValueIsWrong() {
      for (String text : List.of("show lag where log > 2s", "show lag where lag > 2")) {
        Result.Failure<?> failure = assertInstanceOf(Result.Failure.class, select(text));
        assertEquals(ResultCode.BAD_VALUE, failure.fault().code());
      }
    }
  }

  @Nested
  class ToText {
    @Test
    void shouldAlignColumnsWhenWidthsDiffer() {
      assertEquals("target  lag\na1      1500ms\na2      -\nb1      4s\n", LAG.toText());
    }
  }
}
