package io.lycheejunction.common.platform;

import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Reaches the platform's table by HTTP with JSON. */
public final class HttpPlatformTable implements PlatformTable {
  private final PlatformCalls calls;

  /**
   * Creates the table's adapter.
   *
   * @param calls sends the messages
   */
  public HttpPlatformTable(PlatformCalls calls) {
    this.calls = Objects.requireNonNull(calls, "calls is null");
  }

  @Override
  public Result<PutOutcome> putIfAbsent(String table, Row row) {
    PlatformMessage message = new PlatformMessage.PutRow(table, row.key(), row.value());
    return calls
        .call(message, PlatformAnswer.Put.class, ResultCode.STORE_UNKNOWN)
        .map(
            put ->
                put.existing()
                    .<PutOutcome>map(PutOutcome.Exists::new)
                    .orElseGet(PutOutcome.Written::new));
  }

  @Override
  public Result<Optional<Row>> get(String table, String key) {
    return rows(new PlatformMessage.GetRow(table, key)).map(rows -> rows.stream().findFirst());
  }

  @Override
  public Result<List<Row>> scan(String table, String afterKey, int limit) {
    return rows(new PlatformMessage.ScanRows(table, afterKey, limit));
  }

  private Result<List<Row>> rows(PlatformMessage message) {
    return calls
        .call(message, PlatformAnswer.Rows.class, ResultCode.STORE_UNAVAILABLE)
        .map(PlatformAnswer.Rows::rows);
  }
}
