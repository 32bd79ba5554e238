package io.lycheejunction.common.platform;

import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Client of the platform's transactional table service, with JSON over HTTP. */
public final class HttpPlatformTable implements PlatformTable {
  private final PlatformMessageClient calls;

  /**
   * Creates the client.
   *
   * @param calls sends the requests to the platform
   */
  public HttpPlatformTable(PlatformMessageClient calls) {
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
    return readRows(new PlatformMessage.GetRow(table, key)).map(rows -> rows.stream().findFirst());
  }

  @Override
  public Result<List<Row>> scan(String table, String afterKey, int limit) {
    return readRows(new PlatformMessage.ScanRows(table, afterKey, limit));
  }

  private Result<List<Row>> readRows(PlatformMessage message) {
    return calls
        .call(message, PlatformAnswer.Rows.class, ResultCode.STORE_UNAVAILABLE)
        .map(PlatformAnswer.Rows::rows);
  }
}
