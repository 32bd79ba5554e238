package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.load.Figures.Figure;
import java.util.List;

/**
 * Measures what one role of a proxy costs at several sizes of its driver, which is the quantity
 * that the cost is expected to grow with, such as the number of connections.
 */
interface Slope {

  /** Returns the name of the role and the name of its driver as key=value pairs. */
  String name();

  /** Returns the sizes of the driver to measure at, in ascending order. */
  List<Integer> sizes();

  /** Returns the measured figures of the role at a size of its driver. */
  List<Figure> measure(int size) throws InterruptedException;
}
