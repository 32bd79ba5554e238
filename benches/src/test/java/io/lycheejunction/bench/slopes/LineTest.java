package io.lycheejunction.bench.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LineTest {
  private static final double TOLERANCE = 1e-9;

  @Nested
  class Through {
    @Test
    void shouldFindBaseAndGrowthWhenThePointsLieOnOneLine() {
      Line line = through(new Line.Point(1, 5), new Line.Point(3, 11), new Line.Point(10, 32));
      assertEquals(2, line.base(), TOLERANCE);
      assertEquals(3, line.perUnit(), TOLERANCE);
    }

    @Test
    void shouldSplitTheDifferenceWhenOnePointLiesOffTheLine() {
      Line line = through(new Line.Point(0, 0), new Line.Point(1, 3), new Line.Point(2, 0));
      assertEquals(1, line.base(), TOLERANCE);
      assertEquals(0, line.perUnit(), TOLERANCE);
    }

    @Test
    void shouldBeLevelWhenThereIsOnePoint() {
      Line line = through(new Line.Point(4, 9));
      assertEquals(9, line.base(), TOLERANCE);
      assertEquals(0, line.perUnit(), TOLERANCE);
    }

    private Line through(Line.Point... points) {
      return Line.through(List.of(points));
    }
  }
}
