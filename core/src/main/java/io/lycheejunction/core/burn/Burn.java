package io.lycheejunction.core.burn;

import java.util.Locale;

/** The burn rate of one objective over one window. */
public sealed interface Burn {

  /**
   * The rate is known.
   *
   * @param rate the share of misses divided by the allowed share; 1 spends the budget exactly
   * @param events the judged requests
   * @param coveredMinutes the minutes of the window that have counts
   */
  record Known(double rate, long events, int coveredMinutes) implements Burn {}

  /**
   * There are counts, but no request that the objective judges.
   *
   * @param coveredMinutes the minutes of the window that have counts
   */
  record Idle(int coveredMinutes) implements Burn {}

  /** No minute of the window has counts. */
  record Missing() implements Burn {}

  /**
   * Returns the rate of an objective.
   *
   * @param objective the objective
   * @param tally the counts of the window
   * @param coveredMinutes the minutes of the window that have counts
   * @return the rate
   */
  static Burn of(Objective objective, Tally tally, int coveredMinutes) {
    if (coveredMinutes == 0) {
      return new Missing();
    }
    long events = objective.events(tally);
    if (events == 0) {
      return new Idle(coveredMinutes);
    }
    double missShare = (double) objective.misses(tally) / events;
    return new Known(missShare / (1 - objective.target()), events, coveredMinutes);
  }

  /**
   * Returns whether the rate is known and above a threshold.
   *
   * @param threshold the threshold
   * @return true if it is above
   */
  default boolean exceeds(double threshold) {
    return this instanceof Known known && known.rate() > threshold;
  }

  /**
   * Returns the rate as a report shows it.
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
