package io.lycheejunction.bench.config;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.port.VmDirectory;
import io.lycheejunction.core.result.Result;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/** Counts the requests and bytes between one proxy and the platform's table and VM list. */
record CountingPlatform(PlatformTable table, VmDirectory directory, Traffic traffic)
    implements PlatformTable, VmDirectory {

  @Override
  public Result<PutOutcome> putIfAbsent(String name, Row row) {
    traffic.tableWrites.increment();
    countRequest(traffic.tableBytes, new PlatformMessage.PutRow(name, row.key(), row.value()));
    return table.putIfAbsent(name, row).map(this::countPut);
  }

  private PutOutcome countPut(PutOutcome outcome) {
    Optional<String> existing =
        outcome instanceof PutOutcome.Exists(String value) ? Optional.of(value) : Optional.empty();
    countReply(traffic.tableBytes, new PlatformAnswer.Put(existing));
    return outcome;
  }

  @Override
  public Result<Optional<Row>> get(String name, String key) {
    traffic.tableReads.increment();
    countRequest(traffic.tableBytes, new PlatformMessage.GetRow(name, key));
    return table
        .get(name, key)
        .map(
            row -> {
              countReply(traffic.tableBytes, new PlatformAnswer.Rows(row.stream().toList()));
              return row;
            });
  }

  @Override
  public Result<List<Row>> scan(String name, String afterKey, int limit) {
    traffic.tableReads.increment();
    countRequest(traffic.tableBytes, new PlatformMessage.ScanRows(name, afterKey, limit));
    return table
        .scan(name, afterKey, limit)
        .map(
            rows -> {
              countReply(traffic.tableBytes, new PlatformAnswer.Rows(rows));
              return rows;
            });
  }

  @Override
  public Result<List<Vm>> list() {
    countRequest(traffic.listBytes, new PlatformMessage.ListVms());
    return directory
        .list()
        .map(
            vms -> {
              countReply(traffic.listBytes, new PlatformAnswer.Vms(vms));
              return vms;
            });
  }

  private static void countRequest(LongAdder bytes, PlatformMessage message) {
    bytes.add(jsonBytes(message) + Traffic.REQUEST_HEADER_BYTES);
  }

  private static void countReply(LongAdder bytes, PlatformAnswer answer) {
    bytes.add(jsonBytes(answer) + Traffic.REPLY_HEADER_BYTES);
  }

  private static long jsonBytes(Object message) {
    return Json.write(message).getBytes(StandardCharsets.UTF_8).length;
  }
}
