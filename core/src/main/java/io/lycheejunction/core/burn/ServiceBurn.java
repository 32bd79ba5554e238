package io.lycheejunction.core.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the report says of one objective of one service.
 *
 * @param service the service
 * @param objective the objective
 * @param pairs the rates of the pairs of windows
 * @param month the rate over 30 days of what exists
 * @param status what it asks of a person
 */
public record ServiceBurn(
    String service, Objective objective, List<PairBurn> pairs, Burn month, Status status) {
  /** The time over which the budget is counted, in minutes. */
  public static final int BUDGET_MINUTES = 43_200;

  /** What a rate asks of a person, the most urgent first. */
  public enum Status {
    /** Someone is needed now. */
    NOW,
    /** The last minutes are missing, so nothing is known. */
    UNKNOWN,
    /** Someone is needed in working hours. */
    SOON,
    /** Nobody is needed. */
    FINE
  }

  /**
   * The rates of one pair of windows.
   *
   * @param pair the windows
   * @param shorter the rate over the short window
   * @param longer the rate over the long window
   */
  public record PairBurn(WindowPair pair, Burn shorter, Burn longer) {

    /**
     * Returns whether both rates are above the threshold.
     *
     * @return true for an alert
     */
    public boolean isAlert() {
      return shorter.exceeds(pair.threshold()) && longer.exceeds(pair.threshold());
    }
  }

  /** Copies the list. */
  public ServiceBurn {
    pairs = List.copyOf(pairs);
  }

  /**
   * Returns the burn of an objective.
   *
   * @param history the counts
   * @param service the service
   * @param objective the objective
   * @param endMinute the first minute after all windows, since the epoch
   * @return the burn
   */
  public static ServiceBurn of(
      History history, String service, Objective objective, long endMinute) {
    List<PairBurn> pairs = new ArrayList<>();
    for (WindowPair pair : WindowPair.values()) {
      pairs.add(
          new PairBurn(
              pair,
              history.burn(service, objective, endMinute, pair.shortMinutes()),
              history.burn(service, objective, endMinute, pair.longMinutes())));
    }
    Burn month = history.burn(service, objective, endMinute, BUDGET_MINUTES);
    return new ServiceBurn(service, objective, pairs, month, status(pairs));
  }

  private static Status status(List<PairBurn> pairs) {
    Map<WindowPair, PairBurn> byPair = new TreeMap<>();
    pairs.forEach(pair -> byPair.put(pair.pair(), pair));
    if (byPair.get(WindowPair.FAST).isAlert() || byPair.get(WindowPair.MIDDLE).isAlert()) {
      return Status.NOW;
    }
    if (byPair.get(WindowPair.FAST).shorter() instanceof Burn.Missing) {
      return Status.UNKNOWN;
    }
    return byPair.get(WindowPair.SLOW).isAlert() ? Status.SOON : Status.FINE;
  }

  /**
   * Returns the share of the budget that is left, as a report shows it.
   *
   * @return the text
   */
  public String budgetLeft() {
    return month instanceof Burn.Known known
        ? Math.round(100 * (1 - known.rate())) + "%"
        : month.show();
  }
}
