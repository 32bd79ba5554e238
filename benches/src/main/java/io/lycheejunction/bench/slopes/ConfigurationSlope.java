package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.ProcessUsage;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.proxy.configuration.AppliedLog;
import io.lycheejunction.proxy.configuration.LogRow;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the memory and CPU time of the configuration by number of databases, without a store.
 */
final class ConfigurationSlope implements Slope {
  private static final int SLOTS = 5;
  private static final int CONNECTIONS = 55;

  @Override
  public String name() {
    return "role=configuration driver=databases";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(17, 170, 850, 1_700);
  }

  @Override
  public List<Figure> measure(int size) {
    List<LogRow> rows = createRows(size);
    int timedRows = size / 2;
    final long heapBefore = ProcessUsage.heapBytes();
    AppliedLog applied = new AppliedLog();
    rows.subList(0, rows.size() - timedRows).forEach(row -> apply(applied, row));
    ProcessUsage before = ProcessUsage.now();
    rows.subList(rows.size() - timedRows, rows.size()).forEach(row -> apply(applied, row));
    final double rowCpuMicros = ProcessUsage.now().cpuMicrosSince(before) / timedRows;
    final long heapBytes = ProcessUsage.heapBytes() - heapBefore;
    long rowBytes = rows.stream().mapToLong(row -> row.text().length()).sum();
    long snapshotBytes = Json.write(applied.snapshot()).length();
    Reference.reachabilityFence(rows);
    return List.of(
        new Figure("heap_bytes", heapBytes),
        new Figure("row_bytes", (double) rowBytes / rows.size()),
        new Figure("snapshot_bytes", snapshotBytes),
        new Figure("row_cpu_us", rowCpuMicros));
  }

  private static void apply(AppliedLog applied, LogRow row) {
    AppliedLog.OfferResult offer = applied.offer(row);
    if (offer != AppliedLog.OfferResult.APPLIED) {
      throw new IllegalStateException(
          "configuration row " + row.version() + " was not applied: " + offer);
    }
  }

  private static List<LogRow> createRows(int databases) {
    List<LogRow> rows = new ArrayList<>();
    for (int i = 0; i < databases; i++) {
      String name = "g" + i;
      addChange(rows, new Change.CreateGroup(name, Node.targets(name, i), SLOTS, CONNECTIONS));
      addChange(rows, new Change.CreateService("orders-" + name, name, ServiceRules.empty()));
    }
    return rows;
  }

  private static void addChange(List<LogRow> rows, Change change) {
    long version = rows.size() + 1L;
    String changeId = "00000000-0000-0000-0000-%012d".formatted(version);
    rows.add(
        new LogRow(
            version,
            Json.write(new ChangeRow(ChangeRow.SCHEMA, changeId, version, version, change))));
  }
}
