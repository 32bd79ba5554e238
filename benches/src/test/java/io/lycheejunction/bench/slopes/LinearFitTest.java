package io.lycheejunction.bench.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LinearFitTest {
  private static final double TOLERANCE = 1e-9;

  @Nested
  class To {
    @Test
    void shouldReturnExactInterceptAndSlopeWhenPointsAreCollinear() {
      LinearFit fit =
          fitTo(new LinearFit.Point(1, 5), new LinearFit.Point(3, 11), new LinearFit.Point(10, 32));
      assertEquals(2, fit.intercept(), TOLERANCE);
      assertEquals(3, fit.slope(), TOLERANCE);
    }

    @Test
    void shouldMinimiseSquaredErrorsWhenPointsAreNotCollinear() {
      LinearFit fit =
          fitTo(new LinearFit.Point(0, 0), new LinearFit.Point(1, 3), new LinearFit.Point(2, 0));
      assertEquals(1, fit.intercept(), TOLERANCE);
      assertEquals(0, fit.slope(), TOLERANCE);
    }

    @Test
    void shouldReturnZeroSlopeWhenThereIsOnePoint() {
      LinearFit fit = fitTo(new LinearFit.Point(4, 9));
      assertEquals(9, fit.intercept(), TOLERANCE);
      assertEquals(0, fit.slope(), TOLERANCE);
    }

    private LinearFit fitTo(LinearFit.Point... points) {
      return LinearFit.to(List.of(points));
    }
  }
}
