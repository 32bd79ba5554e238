package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.language.Cell;
import io.lycheejunction.core.language.Table;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.ResultCode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** The table of callers' requests that this proxy refused or whose outcome is unknown. */
public final class RefusedTable {
  private static final String REQUESTS = "lycheejunction.requests";
  private static final List<String> COLUMNS =
      List.of("service", "access", "code", "name", "outcome", "count");

  private final MeterRegistry registry;

  /**
   * Creates the table.
   *
   * @param registry the registry with the timers of callers' requests
   */
  public RefusedTable(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
  }

  /**
   * Returns the counts since the proxy started.
   *
   * @return one row for each service, kind of request and result code
   */
  public Table table() {
    List<List<Cell>> rows = new ArrayList<>();
    for (Timer timer : registry.find(REQUESTS).timers()) {
      String number = String.valueOf(timer.getId().getTag("code"));
      for (ResultCode code : ResultCode.values()) {
        if (code.outcome() != Outcome.DONE && number.equals(String.valueOf(code.number()))) {
          rows.add(row(timer, code));
        }
      }
    }
    return new Table(COLUMNS, rows);
  }

  private static List<Cell> row(Timer timer, ResultCode code) {
    return List.of(
        Cell.text(String.valueOf(timer.getId().getTag("service"))),
        Cell.text(String.valueOf(timer.getId().getTag("access"))),
        Cell.count(code.number()),
        Cell.text(code.name()),
        Cell.text(code.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-')),
        Cell.count(timer.count()));
  }
}
