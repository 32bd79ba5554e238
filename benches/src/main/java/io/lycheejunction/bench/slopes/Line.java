package io.lycheejunction.bench.slopes;

import java.util.List;
import java.util.Objects;

/**
 * The straight line that fits points best by the least squares.
 *
 * @param base the value at zero
 * @param perUnit the growth for each unit
 */
record Line(double base, double perUnit) {

  /**
   * One point.
   *
   * @param size the size of the driver
   * @param value the value
   */
  record Point(double size, double value) {}

  /** Returns the line through the points; with one point, a level line. */
  static Line through(List<Point> points) {
    Objects.requireNonNull(points, "points is null");
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    double perUnit = variance == 0 ? 0 : covariance / variance;
    return new Line(meanValue - perUnit * meanSize, perUnit);
  }
}
