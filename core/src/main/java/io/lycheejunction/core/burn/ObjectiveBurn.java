package io.lycheejunction.core.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The burn rates of one objective of one service, with the resulting status.
 *
 * @param service the name of the service
 * @param objective the objective
 * @param pairs the burn rates of each pair of windows
 * @param month the burn rate over 30 days, from the minutes that have counts
 * @param status the urgency that results from the burn rates
 */
public record ObjectiveBurn(
    String service, Objective objective, List<PairBurn> pairs, Burn month, Status status) {
  /** The period of the error budget, in minutes: 30 days. */
  public static final int BUDGET_MINUTES = 43_200;

  /** The urgency of a response by an operator, the most urgent first. */
  public enum Status {
    /** A response is needed immediately. */
    NOW,
    /** The most recent minutes have no counts, so the current burn rate is not known. */
    UNKNOWN,
    /** A response is needed during working hours. */
    SOON,
    /** No response is needed. */
    FINE
  }

  /**
   * The burn rates of one pair of windows.
   *
   * @param pair the windows
   * @param shorter the burn rate over the short window
   * @param longer the burn rate over the long window
   */
  public record PairBurn(WindowPair pair, Burn shorter, Burn longer) {

    /**
     * Returns whether both burn rates are above the threshold of the pair.
     *
     * @return true for an alert
     */
    public boolean isAlert() {
      return shorter.exceeds(pair.threshold()) && longer.exceeds(pair.threshold());
    }
  }

  /** Copies the list. */
  public ObjectiveBurn {
    pairs = List.copyOf(pairs);
  }

  /**
   * Returns the burn rates of an objective.
   *
   * @param history the request counts
   * @param service the name of the service
   * @param objective the objective
   * @param endMinute the first minute after all windows, since the epoch
   * @return the burn rates and the status
   */
  public static ObjectiveBurn of(
      CountHistory history, String service, Objective objective, long endMinute) {
    List<PairBurn> pairs = new ArrayList<>();
    for (WindowPair pair : WindowPair.values()) {
      pairs.add(
          new PairBurn(
              pair,
              history.burn(service, objective, endMinute, pair.shortMinutes()),
              history.burn(service, objective, endMinute, pair.longMinutes())));
    }
    Burn month = history.burn(service, objective, endMinute, BUDGET_MINUTES);
    return new ObjectiveBurn(service, objective, pairs, month, status(pairs));
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
   * Returns the text of the remaining share of the error budget in a report.
   *
   * @return the share in percent, negative if the budget is overspent; the text of the burn rate if
   *     that is not known
   */
  public String budgetLeft() {
    return month instanceof Burn.Known known
        ? Math.round(100 * (1 - known.rate())) + "%"
        : month.show();
  }
}
