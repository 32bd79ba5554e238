import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store: rows, transactions on one part, and feeds. */
final class Store implements AutoCloseable {

  /** Called for each row that a transaction has written, before the answer is sent. */
  interface WriteListener {
    void written(String table, String key, String value, long ver);
  }

  private record Row(String table, String key, String value, long ver) {}

  private final HttpServer server;
  private final Record record;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private long version;
  private volatile WriteListener listener = (table, key, value, ver) -> {};

  Store(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  void setWriteListener(WriteListener changed) {
    listener = changed;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a row as the operator or an instance does. */
  synchronized void put(String table, String key, String value) {
    version++;
    set(new Row(table, key, encode(value), version));
  }

  synchronized void remove(String table, String key) {
    version++;
    drop(table, key);
  }

  private void set(Row row) {
    rows.put(row.table() + '\0' + row.key(), row);
    history.add(row);
    notifyAll();
  }

  private void drop(String table, String key) {
    rows.remove(table + '\0' + key);
    history.add(new Row(table, key, null, version));
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/rows-get" -> answer(exchange, 200, get(query));
        case "/rows-feed" -> answer(exchange, 200, feed(query));
        case "/rows-tx" -> transact(exchange, Json.object(Json.read(body)));
        default -> exchange.sendResponseHeaders(404, -1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Map<String, Object> get(Map<String, String> query) {
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    String prefix = query.get("table") + '\0';
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Row> entry :
        rows.tailMap(prefix + query.getOrDefault("from", ""), true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (found.size() == limit) {
        more = true;
        break;
      }
      found.add(json(entry.getValue()));
    }
    Map<String, Object> reply = reply(found);
    reply.put("has-more", more);
    return reply;
  }

  private synchronized Map<String, Object> feed(Map<String, String> query)
      throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long untilMs = record.nowMs() + Long.parseLong(query.get("wait-ms"));
    String table = query.get("table");
    while (changes(table, after).isEmpty() && record.nowMs() < untilMs) {
      wait(Math.max(1, untilMs - record.nowMs()));
    }
    return reply(changes(table, after));
  }

  private List<Object> changes(String table, long after) {
    List<Object> found = new ArrayList<>();
    for (Row row : history) {
      if (row.table().equals(table) && row.ver() > after) {
        found.add(json(row));
      }
    }
    return found;
  }

  private void transact(HttpExchange exchange, Map<String, Object> body) throws IOException {
    List<Row> written = new ArrayList<>();
    boolean holds = true;
    Map<String, Object> reply;
    synchronized (this) {
      List<Object> current = new ArrayList<>();
      for (Object condition : Json.list(body.get("expected-rev"))) {
        Map<String, Object> wanted = Json.object(condition);
        Row row = rows.get(wanted.get("table") + "\0" + wanted.get("key"));
        holds &= (row == null ? 0 : row.ver()) == (Long) wanted.get("ver");
        if (row != null) {
          current.add(json(row));
        }
      }
      if (holds) {
        version++;
        for (Object set : Json.list(body.get("set-keys"))) {
          Map<String, Object> row = Json.object(set);
          Row changed =
              new Row(
                  (String) row.get("table"),
                  (String) row.get("key"),
                  (String) row.get("value"),
                  version);
          set(changed);
          written.add(changed);
        }
        for (Object removed : Json.list(body.get("remove"))) {
          Map<String, Object> row = Json.object(removed);
          drop((String) row.get("table"), (String) row.get("key"));
        }
      }
      reply = reply(holds ? List.of() : current);
    }
    for (Row row : written) {
      String value = decode(row.value());
      if (!row.table().equals("holders")) {
        record.line("store", "wrote " + row.table() + " " + row.key() + " ver=" + row.ver() + " " + value);
      }
      listener.written(row.table(), row.key(), value, row.ver());
    }
    answer(exchange, holds ? 200 : 412, reply);
  }

  private Map<String, Object> reply(List<Object> found) {
    Map<String, Object> reply = new LinkedHashMap<>();
    reply.put("rows", found);
    reply.put("ver", version);
    reply.put("now-ms", record.nowMs());
    return reply;
  }

  private static Map<String, Object> json(Row row) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("table", row.table());
    json.put("part", "");
    json.put("key", row.key());
    json.put("ver", row.ver());
    if (row.value() == null) {
      json.put("removed", true);
    } else {
      json.put("value", row.value());
    }
    return json;
  }

  private static void answer(HttpExchange exchange, int status, Map<String, Object> reply)
      throws IOException {
    byte[] bytes = Json.write(reply).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "1");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static String encode(String value) {
    return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
  }

  private static String decode(String value) {
    return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
