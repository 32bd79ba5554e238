package io.lycheejunction.proxy.burn;

import io.lycheejunction.core.burn.Burn;
import io.lycheejunction.core.burn.CountHistory;
import io.lycheejunction.core.burn.Objective;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.language.Cell;
import io.lycheejunction.core.language.Table;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** The table of each service's error budget burn on this proxy over the last hour. */
public final class BurnTable {
  private static final List<String> COLUMNS =
      List.of("service", "objective", "burn_percent", "events", "minutes");
  private static final int HOUR_MINUTES = 60;

  private final RequestCountRecorder recorder;
  private final RuntimeClock clock;

  /**
   * Creates the table.
   *
   * @param recorder records this proxy's counts
   * @param clock the runtime clock
   */
  public BurnTable(RequestCountRecorder recorder, RuntimeClock clock) {
    this.recorder = Objects.requireNonNull(recorder, "recorder is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /**
   * Returns the burn over the last hour, up to the last recording.
   *
   * @return one row for each service and objective
   */
  public Table table() {
    CountHistory history = recorder.history();
    long endMinute = clock.wallMs() / RequestCountRecorder.INTERVAL_MS + 1;
    List<List<Cell>> rows = new ArrayList<>();
    for (String service : history.services()) {
      for (Objective objective : Objective.values()) {
        rows.add(
            row(service, objective, history.burn(service, objective, endMinute, HOUR_MINUTES)));
      }
    }
    return new Table(COLUMNS, rows);
  }

  private static List<Cell> row(String service, Objective objective, Burn burn) {
    Cell name = Cell.text(service);
    Cell objectiveName = Cell.text(objective.name().toLowerCase(Locale.ROOT));
    return switch (burn) {
      case Burn.Known known ->
          List.of(
              name,
              objectiveName,
              Cell.count(Math.round(100 * known.rate())),
              Cell.count(known.events()),
              Cell.count(known.coveredMinutes()));
      case Burn.Idle idle ->
          List.of(
              name,
              objectiveName,
              Cell.unknown(),
              Cell.count(0),
              Cell.count(idle.coveredMinutes()));
      case Burn.Missing missing ->
          List.of(name, objectiveName, Cell.unknown(), Cell.unknown(), Cell.count(0));
    };
  }
}
