package io.lycheejunction.core.burn;

import java.util.Locale;

/** The burn rate of one service-level objective over one window. */
public sealed interface Burn {

  /**
   * The burn rate is known.
   *
   * @param rate the share of requests that miss the objective, divided by the share that may; 1
   *     spends the error budget exactly
   * @param events the number of requests that the objective covers
   * @param coveredMinutes the number of minutes of the window that have counts
   */
  record Known(double rate, long events, int coveredMinutes) implements Burn {}

  /**
   * The window has counts, but no request that the objective covers.
   *
   * @param coveredMinutes the number of minutes of the window that have counts
   */
  record Idle(int coveredMinutes) implements Burn {}

  /** No minute of the window has counts. */
  record Missing() implements Burn {}

  /**
   * Returns the burn rate of an objective.
   *
   * @param objective the objective
   * @param counts the counts of the window
   * @param coveredMinutes the number of minutes of the window that have counts
   * @return the burn rate
   */
  static Burn of(Objective objective, RequestCounts counts, int coveredMinutes) {
    if (coveredMinutes == 0) {
      return new Missing();
    }
    long events = objective.events(counts);
    if (events == 0) {
      return new Idle(coveredMinutes);
    }
    double missShare = (double) objective.misses(counts) / events;
    return new Known(missShare / (1 - objective.target()), events, coveredMinutes);
  }

  /**
   * Returns whether the burn rate is known and above a threshold.
   *
   * @param threshold the threshold
   * @return true if the rate is above the threshold
   */
  default boolean exceeds(double threshold) {
    return this instanceof Known known && known.rate() > threshold;
  }

  /**
   * Returns the text of the burn rate in a report.
   *
   * @return the text
   */
  default String show() {
    return switch (this) {
      case Known known -> String.format(Locale.ROOT, "%.2f", known.rate());
      case Idle idle -> "no requests";
      case Missing missing -> "missing";
    };
  }
}
