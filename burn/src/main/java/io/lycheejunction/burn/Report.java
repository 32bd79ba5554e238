package io.lycheejunction.burn;

import io.lycheejunction.core.burn.History;
import io.lycheejunction.core.burn.Objective;
import io.lycheejunction.core.burn.ServiceBurn;
import io.lycheejunction.core.burn.ServiceBurn.Status;
import io.lycheejunction.core.burn.WindowPair;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What the burn report says.
 *
 * @param history the counts
 * @param endMinute the first minute after the report, since the epoch
 * @param burns the burn of each service and objective, the most urgent first
 * @param refusals the most frequent refusals of the last hours
 * @param gaps what is missing
 */
record Report(
    History history, long endMinute, List<ServiceBurn> burns, List<Refusal> refusals, Gaps gaps) {
  /** The time over which refusals are counted, in minutes. */
  static final int REFUSALS_MINUTES = 360;

  private static final int MAX_REFUSALS = 10;
  private static final String NO_SERVICE = "-";

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
   * @param name its name
   * @param count the requests
   */
  record Refusal(String service, int code, String name, long count) {}

  /**
   * What is missing from the report.
   *
   * @param dayMinutes the minutes of the last three days without counts
   * @param unreadHours the hours that could not be read
   */
  record Gaps(int dayMinutes, int unreadHours) {}

  /**
   * What goes out as JSON.
   *
   * @param headline whether anyone is needed
   * @param burns the burn of each service and objective
   * @param refusals the most frequent refusals
   * @param gaps what is missing
   */
  record Summary(String headline, List<ServiceBurn> burns, List<Refusal> refusals, Gaps gaps) {}

  /** Returns the report of one service, or of all if the name is empty. */
  static Report of(HistoryReader.Read read, long nowMinute, String only) {
    History history = read.history();
    long endMinute = nowMinute - 1;
    List<ServiceBurn> burns = new ArrayList<>();
    List<Refusal> refusals = new ArrayList<>();
    for (String service : history.services()) {
      if (!only.isEmpty() && !only.equals(service)) {
        continue;
      }
      refusals.addAll(refusals(history, service, endMinute));
      for (Objective objective : Objective.values()) {
        if (!service.equals(NO_SERVICE)) {
          burns.add(ServiceBurn.of(history, service, objective, endMinute));
        }
      }
    }
    burns.sort(Comparator.comparing(ServiceBurn::status));
    refusals.sort(Comparator.comparingLong(Refusal::count).reversed());
    int slowMinutes = WindowPair.SLOW.longMinutes();
    int missing = slowMinutes - history.coveredMinutes(endMinute, slowMinutes);
    return new Report(
        history,
        endMinute,
        burns,
        refusals.subList(0, Math.min(MAX_REFUSALS, refusals.size())),
        new Gaps(missing, read.unreadHours()));
  }

  private static List<Refusal> refusals(History history, String service, long endMinute) {
    List<Refusal> found = new ArrayList<>();
    history
        .tally(service, endMinute, REFUSALS_MINUTES)
        .codes()
        .forEach((code, count) -> found.add(new Refusal(service, code, name(code), count)));
    return found;
  }

  private static String name(int number) {
    for (ResultCode code : ResultCode.values()) {
      if (code.number() == number) {
        return code.name();
      }
    }
    return "unknown code";
  }

  /** Returns the one line that says whether anyone is needed. */
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
        .map(ServiceBurn::service)
        .distinct()
        .toList();
  }

  /** Returns the line on what is missing. */
  String gapsLine() {
    String hours = gaps.unreadHours() == 0 ? "" : "; " + gaps.unreadHours() + " hours unreadable";
    return "Missing in the last 3 days: "
        + gaps.dayMinutes()
        + " of "
        + WindowPair.SLOW.longMinutes()
        + " minutes"
        + hours;
  }

  /** Returns what goes out as JSON. */
  Summary summary() {
    return new Summary(headline(), burns, refusals, gaps);
  }
}
