package io.lycheejunction.burn;

import io.lycheejunction.core.burn.CountHistory;
import io.lycheejunction.core.burn.Objective;
import io.lycheejunction.core.burn.ObjectiveBurn;
import io.lycheejunction.core.burn.ObjectiveBurn.Status;
import io.lycheejunction.core.burn.WindowPair;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The content of the burn report.
 *
 * @param history the counts
 * @param endMinute the first minute after the reported period, counted from the epoch
 * @param burns the burn of each service and objective, the most urgent first
 * @param refusals the most frequent refusals of the last {@value #REFUSALS_PERIOD_MINUTES} minutes
 * @param gaps the times without counts
 */
record Report(
    CountHistory history,
    long endMinute,
    List<ObjectiveBurn> burns,
    List<Refusal> refusals,
    Gaps gaps) {
  /** The period over which refusals are counted, in minutes. */
  static final int REFUSALS_PERIOD_MINUTES = 360;

  private static final int MAX_LISTED_REFUSALS = 10;

  /** The service name in counts of requests for unknown services; it has no objectives. */
  private static final String UNKNOWN_SERVICE = "-";

  /** Copies the lists. */
  Report {
    burns = List.copyOf(burns);
    refusals = List.copyOf(refusals);
  }

  /**
   * The refusals of one service with one code.
   *
   * @param service the service
   * @param code the number of the result code
   * @param name the name of the result code
   * @param count the number of refused requests
   */
  record Refusal(String service, int code, String name, long count) {}

  /**
   * The times without counts.
   *
   * @param dayMinutes the number of minutes without counts in the last three days
   * @param unreadHours the number of hours whose counts could not be read
   */
  record Gaps(int dayMinutes, int unreadHours) {}

  /**
   * The part of the report that is printed as JSON.
   *
   * @param headline the line that says whether an operator has to act
   * @param burns the burn of each service and objective
   * @param refusals the most frequent refusals
   * @param gaps the times without counts
   */
  record Summary(String headline, List<ObjectiveBurn> burns, List<Refusal> refusals, Gaps gaps) {}

  /** Returns the report of one service, or of all if the name is empty. */
  static Report of(HistoryReader.LoadedHistory loaded, long nowMinute, String serviceFilter) {
    CountHistory history = loaded.history();
    long endMinute = nowMinute - 1;
    List<ObjectiveBurn> burns = new ArrayList<>();
    List<Refusal> refusals = new ArrayList<>();
    for (String service : history.services()) {
      if (!serviceFilter.isEmpty() && !serviceFilter.equals(service)) {
        continue;
      }
      refusals.addAll(refusals(history, service, endMinute));
      for (Objective objective : Objective.values()) {
        if (!service.equals(UNKNOWN_SERVICE)) {
          burns.add(ObjectiveBurn.of(history, service, objective, endMinute));
        }
      }
    }
    burns.sort(Comparator.comparing(ObjectiveBurn::status));
    refusals.sort(Comparator.comparingLong(Refusal::count).reversed());
    int slowMinutes = WindowPair.SLOW.longMinutes();
    int missingMinutes = slowMinutes - history.coveredMinutes(endMinute, slowMinutes);
    return new Report(
        history,
        endMinute,
        burns,
        refusals.subList(0, Math.min(MAX_LISTED_REFUSALS, refusals.size())),
        new Gaps(missingMinutes, loaded.unreadHours()));
  }

  private static List<Refusal> refusals(CountHistory history, String service, long endMinute) {
    List<Refusal> refusals = new ArrayList<>();
    history
        .counts(service, endMinute, REFUSALS_PERIOD_MINUTES)
        .codes()
        .forEach((code, count) -> refusals.add(new Refusal(service, code, name(code), count)));
    return refusals;
  }

  private static String name(int number) {
    for (ResultCode code : ResultCode.values()) {
      if (code.number() == number) {
        return code.name();
      }
    }
    return "unknown code";
  }

  /** Returns the line that says whether an operator has to act. */
  String headline() {
    List<String> now = services(Status.NOW);
    if (!now.isEmpty()) {
      return "Someone is needed now: " + String.join(", ", now);
    }
    List<String> unknown = services(Status.UNKNOWN);
    if (burns.isEmpty()) {
      return "Not known whether anyone is needed: no service has counts";
    }
    if (!unknown.isEmpty()) {
      return "Not known whether anyone is needed: the last minutes have no counts";
    }
    List<String> soon = services(Status.SOON);
    return soon.isEmpty()
        ? "Nobody is needed"
        : "Nobody is needed tonight; in working hours: " + String.join(", ", soon);
  }

  private List<String> services(Status status) {
    return burns.stream()
        .filter(burn -> burn.status() == status)
        .map(ObjectiveBurn::service)
        .distinct()
        .toList();
  }

  /** Returns the line about the times without counts. */
  String gapsLine() {
    String hours = gaps.unreadHours() == 0 ? "" : "; " + gaps.unreadHours() + " hours unreadable";
    return "Missing in the last 3 days: "
        + gaps.dayMinutes()
        + " of "
        + WindowPair.SLOW.longMinutes()
        + " minutes"
        + hours;
  }

  /** Returns the part of the report that is printed as JSON. */
  Summary summary() {
    return new Summary(headline(), burns, refusals, gaps);
  }
}
