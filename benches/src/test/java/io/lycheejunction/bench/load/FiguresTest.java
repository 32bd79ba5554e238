package io.lycheejunction.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.bench.load.Figures.Figure;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FiguresTest {
  private final Figures figures = new Figures("bench");

  @Nested
  class Median {
    @Test
    void shouldReturnTheMiddleValueWhenTheNumberOfRoundsIsOdd() {
      add(9, 1, 4);
      assertEquals(4, figures.median("way=a", "p50_ms"));
    }

    @Test
    void shouldReturnTheMeanOfTheMiddleValuesWhenTheNumberOfRoundsIsEven() {
      add(8, 1, 4, 2);
      assertEquals(3, figures.median("way=a", "p50_ms"));
    }

    @Test
    void shouldReturnNanWhenTheFigureWasNotRecorded() {
      add(1);
      assertTrue(Double.isNaN(figures.median("way=b", "p50_ms")));
    }

    private void add(double... values) {
      for (int i = 0; i < values.length; i++) {
        figures.add("way=a", i + 1, List.of(new Figure("p50_ms", values[i])));
      }
    }
  }
}
