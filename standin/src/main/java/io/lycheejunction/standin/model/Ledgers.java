package io.lycheejunction.standin.model;

import io.lycheejunction.common.json.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The applied data of one instance: ledgers and idempotency keys. Guarded by the group's lock. */
final class Ledgers {
  private final Map<String, Map<String, List<String>>> ledgers = new HashMap<>();
  private final Map<String, LogEntry> keys = new HashMap<>();

  /** Applies the writes of a log entry and records its idempotency key. */
  void apply(LogEntry entry) {
    for (String text : entry.statements()) {
      if (Statement.parse(text).getOrElse(null) instanceof Statement.Write write) {
        applyWrite(ledgers.computeIfAbsent(write.ledger(), name -> new LinkedHashMap<>()), write);
      }
    }
    entry.key().ifPresent(key -> keys.put(key, entry));
  }

  /** Returns the entry that recorded or cancelled an idempotency key. */
  Optional<LogEntry> recorded(String key) {
    return Optional.ofNullable(keys.get(key));
  }

  /** Returns the rows of a ledger, in the order in which their keys were first written. */
  List<LedgerRow> rows(String ledger) {
    return flatten(ledgers.getOrDefault(ledger, Map.of()));
  }

  /**
   * Returns the result rows of a statement, as JSON.
   *
   * @param statement the statement
   * @param pending the uncommitted writes of the same transaction, which the statement sees
   * @return the rows
   */
  List<String> read(Statement statement, List<Statement.Write> pending) {
    return switch (statement) {
      case Statement.Get(String ledger, String key) -> json(get(ledger, key, pending));
      case Statement.Scan(String ledger, int limit) ->
          json(scan(ledger, pending).stream().limit(limit).toList());
      case Statement.Write write -> List.of("{\"written\":1}");
      case Statement.Sleep sleep -> List.of();
    };
  }

  private static List<String> json(List<LedgerRow> rows) {
    return rows.stream().map(Json::write).toList();
  }

  private List<LedgerRow> get(String ledger, String key, List<Statement.Write> pending) {
    Map<String, List<String>> matching = new LinkedHashMap<>();
    List<String> values = ledgers.getOrDefault(ledger, Map.of()).get(key);
    if (values != null) {
      matching.put(key, new ArrayList<>(values));
    }
    for (Statement.Write write : pending) {
      if (write.ledger().equals(ledger) && write.key().equals(key)) {
        applyWrite(matching, write);
      }
    }
    return flatten(matching);
  }

  private List<LedgerRow> scan(String ledger, List<Statement.Write> pending) {
    if (pending.isEmpty()) {
      return rows(ledger);
    }
    Map<String, List<String>> merged = new LinkedHashMap<>();
    ledgers
        .getOrDefault(ledger, Map.of())
        .forEach((key, values) -> merged.put(key, new ArrayList<>(values)));
    for (Statement.Write write : pending) {
      if (write.ledger().equals(ledger)) {
        applyWrite(merged, write);
      }
    }
    return flatten(merged);
  }

  private static void applyWrite(Map<String, List<String>> ledger, Statement.Write write) {
    switch (write) {
      case Statement.Put(String name, String key, String value) ->
          ledger.put(key, new ArrayList<>(List.of(value)));
      case Statement.Append(String name, String key, String value) ->
          ledger.computeIfAbsent(key, absentKey -> new ArrayList<>(1)).add(value);
      case Statement.Delete(String name, String key) -> ledger.remove(key);
    }
  }

  private static List<LedgerRow> flatten(Map<String, List<String>> ledger) {
    List<LedgerRow> rows = new ArrayList<>();
    ledger.forEach((key, values) -> values.forEach(value -> rows.add(new LedgerRow(key, value))));
    return rows;
  }
}
