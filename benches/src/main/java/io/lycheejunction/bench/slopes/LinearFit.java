package io.lycheejunction.bench.slopes;

import java.util.List;
import java.util.Objects;

/**
 * A line fitted to points by ordinary least squares.
 *
 * @param intercept the value at size zero
 * @param slope the increase of the value for each unit of size
 */
record LinearFit(double intercept, double slope) {

  /**
   * One measured point.
   *
   * @param size the size of the driver
   * @param value the measured value at that size
   */
  record Point(double size, double value) {}

  /** Returns the line fitted to the points; a single point gives slope zero. */
  static LinearFit to(List<Point> points) {
    Objects.requireNonNull(points, "points is null");
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    return new LinearFit(meanValue - slope * meanSize, slope);
  }
}
