package io.lycheejunction.proxy.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.language.Cell;
import io.lycheejunction.core.language.Table;
import java.util.List;

/** Writes tables as JSON. */
final class TableJson {
  private TableJson() {}

  /** Returns an array with one object for each row; durations are in milliseconds. */
  static JsonNode of(Table table) {
    ArrayNode rows = Json.MAPPER.createArrayNode();
    for (List<Cell> row : table.rows()) {
      ObjectNode object = rows.addObject();
      for (int i = 0; i < row.size(); i++) {
        put(object, table.columns().get(i), row.get(i));
      }
    }
    return rows;
  }

  private static void put(ObjectNode object, String column, Cell cell) {
    switch (cell) {
      case Cell.Text(String value) -> object.put(column, value);
      case Cell.Count(long value) -> object.put(column, value);
      case Cell.Duration(long valueMs) -> object.put(column, valueMs);
      case Cell.Unknown() -> object.putNull(column);
    }
  }
}
