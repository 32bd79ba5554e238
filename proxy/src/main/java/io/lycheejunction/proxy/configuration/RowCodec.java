package io.lycheejunction.proxy.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.primitives.Longs;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/** Encodes and decodes the rows of the configuration log as JSON. */
final class RowCodec {
  private RowCodec() {}

  /**
   * Returns the encoded row.
   *
   * @param row the row
   * @return the row's JSON text with its version, or {@code INVALID_CHANGE} if the text is longer
   *     than {@link ChangeRow#MAX_ROW_CHARS}
   */
  static Result<LogRow> encode(ChangeRow row) {
    String text = Json.write(row);
    return text.length() > ChangeRow.MAX_ROW_CHARS
        ? Result.failure(
            ResultCode.INVALID_CHANGE,
            "the row of the change has %d characters; allowed: %d"
                .formatted(text.length(), ChangeRow.MAX_ROW_CHARS))
        : Result.success(new LogRow(row.version(), text));
  }

  /**
   * Returns the decoded row.
   *
   * @param row the row's JSON text with its version
   * @return the row, or {@code POISONED_ROW} if it is too long or malformed or has another version
   */
  static Result<ChangeRow> decode(LogRow row) {
    if (row.text().length() > ChangeRow.MAX_ROW_CHARS) {
      return poisoned("the row is too long: " + row.text().length() + " characters");
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
                    : poisoned(
                        "the version field of the row does not match its key: " + read.version()));
  }

  private static Result<ChangeRow> poisoned(String reason) {
    return Result.failure(ResultCode.POISONED_ROW, reason);
  }

  /**
   * Returns the row of the log that a row of the platform's table contains.
   *
   * @param row the row of the table
   * @return the row, or empty if its key is not a version
   */
  static Optional<LogRow> logRow(PlatformTable.Row row) {
    return row.key().matches("\\d{20}")
        ? Optional.ofNullable(Longs.tryParse(row.key()))
            .map(version -> new LogRow(version, row.value()))
        : Optional.empty();
  }
}
