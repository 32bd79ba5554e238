package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.load.Figures.Figure;
import java.util.List;

/** Measures one role of a proxy at several sizes of its driver. */
interface Slope {

  /** Returns the key=value pairs of the role and its driver. */
  String name();

  /** Returns the sizes of the driver, in ascending order. */
  List<Integer> sizes();

  /** Returns the figures of the role at a size of its driver. */
  List<Figure> measure(int size) throws InterruptedException;
}
