package io.lycheejunction.proxy.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.primitives.Longs;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/** Writes and reads the texts of rows. */
final class RowCodec {
  private RowCodec() {}

  /**
   * Returns the text of a row.
   *
   * @param row the row
   * @return the text, or {@code INVALID_CHANGE} if it is larger than a row may be
   */
  static Result<LogRow> encode(ChangeRow row) {
    String text = Json.write(row);
    return text.length() > ChangeRow.MAX_ROW_CHARS
        ? Result.failure(
            ResultCode.INVALID_CHANGE,
            "the change takes %d characters; allowed: %d"
                .formatted(text.length(), ChangeRow.MAX_ROW_CHARS))
        : Result.success(new LogRow(row.version(), text));
  }

  /**
   * Returns the row that a text stands for.
   *
   * @param row the text with the version that it must lead to
   * @return the row, or {@code POISONED_ROW}
   */
  static Result<ChangeRow> decode(LogRow row) {
    if (row.text().length() > ChangeRow.MAX_ROW_CHARS) {
      return poisoned("the row has " + row.text().length() + " characters");
    }
    return Json.read(row.text(), JsonNode.class)
        .fold(fault -> poisoned("bad JSON: " + fault.detail()), node -> decode(row, node));
  }

  private static Result<ChangeRow> decode(LogRow row, JsonNode node) {
    int schema = node.path("schema").asInt(-1);
    if (schema != ChangeRow.SCHEMA) {
      return poisoned("unknown schema version " + node.path("schema"));
    }
    return Json.read(row.text(), ChangeRow.class)
        .fold(
            fault -> poisoned("bad change: " + fault.detail()),
            read ->
                read.version() == row.version()
                    ? Result.success(read)
                    : poisoned("the row says version " + read.version()));
  }

  private static Result<ChangeRow> poisoned(String reason) {
    return Result.failure(ResultCode.POISONED_ROW, reason);
  }

  /**
   * Returns the row of the log that a row of the table holds.
   *
   * @param row the row of the table
   * @return the row, or empty if its key is not that of a version
   */
  static Optional<LogRow> logRow(PlatformTable.Row row) {
    return row.key().matches("\\d{20}")
        ? Optional.ofNullable(Longs.tryParse(row.key())).map(v -> new LogRow(v, row.value()))
        : Optional.empty();
  }
}
