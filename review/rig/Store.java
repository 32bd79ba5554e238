import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The platform's store, as the page on what is spoken has it: rows-tx, rows-get and rows-feed. Each
 * VM gets a listener of its own, so that one VM can be cut off. Keeps the whole history.
 */
final class Store {
  /** Carries out promotions; returns the HTTP status. */
  interface Promoter {
    int promote(String backend, String id, String holder, long token);
  }

  private record Row(String table, String part, String key, String value, long ver) {
    String path() {
      return path(table, part, key);
    }

    static String path(String table, String part, String key) {
      return table + '\0' + part + '\0' + key;
    }
  }

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Record record;
  private final Promoter promoter;
  private long version = 1;
  private volatile boolean down;

  Store(Record record, Promoter promoter) {
    this.record = record;
    this.promoter = promoter;
  }

  /** Answers all calls with 503 while it is set, which says that nothing was done. */
  void setDown(boolean changedDown) {
    lock.lock();
    try {
      down = changedDown;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    record.say("store " + (changedDown ? "is down, answers 503" : "is back"));
  }

  boolean isDown() {
    return down;
  }

  /** Starts a listener and returns its address. */
  String listen(String ip) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
    servers.add(server);
    return ip + ":" + server.getAddress().getPort();
  }

  void close() {
    servers.forEach(server -> server.stop(0));
  }

  /** Writes a row as the operator or an instance does. */
  void put(String table, String key, String value) {
    lock.lock();
    try {
      version++;
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      write(table, "", key, Base64.getEncoder().encodeToString(bytes));
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  void remove(String table, String key) {
    lock.lock();
    try {
      version++;
      delete(table, "", key);
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void write(String table, String part, String key, String value) {
    Row row = new Row(table, part, key, value, version);
    rows.put(row.path(), row);
    history.add(row);
  }

  private void delete(String table, String part, String key) {
    if (rows.remove(Row.path(table, part, key)) != null) {
      history.add(new Row(table, part, key, null, version));
    }
  }

  private void handle(HttpExchange exchange) {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (down) {
        exchange.sendResponseHeaders(503, -1);
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      TimeUnit.MILLISECONDS.sleep(2);
      switch (exchange.getRequestURI().getPath()) {
        case "/rows-get" -> get(exchange, query);
        case "/rows-feed" -> feed(exchange, query);
        case "/rows-tx" -> transact(exchange, new String(body, StandardCharsets.UTF_8));
        case "/promote" -> promote(exchange, new String(body, StandardCharsets.UTF_8));
        default -> exchange.sendResponseHeaders(404, -1);
      }
    } catch (IOException | InterruptedException e) {
      // The process that has asked was killed or has given up.
    }
  }

  private void promote(HttpExchange exchange, String body) throws IOException {
    Map<String, Object> order = Json.object(Json.parse(body));
    String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
    long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
    int status =
        promoter.promote(
            order.get("backend").toString(), order.get("id").toString(), holder, token);
    exchange.sendResponseHeaders(status, -1);
  }

  private void get(HttpExchange exchange, Map<String, String> query) throws IOException {
    Map<String, Object> reply;
    lock.lock();
    try {
      reply = reply();
      String prefix = Row.path(query.get("table"), query.getOrDefault("part", ""), "");
      int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
      List<Object> found = new ArrayList<>();
      boolean more = false;
      for (Row row : rows.tailMap(prefix + query.getOrDefault("from", ""), true).values()) {
        if (!row.path().startsWith(prefix)) {
          break;
        }
        if (found.size() == limit) {
          more = true;
          break;
        }
        found.add(json(row));
      }
      reply.put("rows", found);
      reply.put("has-more", more);
    } finally {
      lock.unlock();
    }
    answer(exchange, 200, reply);
  }

  private void feed(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    String table = query.get("table");
    long after = Long.parseLong(query.get("after"));
    long waitNs = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("wait-ms")));
    Map<String, Object> reply;
    lock.lock();
    try {
      List<Object> found = changesAfter(table, after);
      while (found.isEmpty() && waitNs > 0 && !down) {
        waitNs = changed.awaitNanos(waitNs);
        found = changesAfter(table, after);
      }
      reply = down ? null : reply();
      if (reply != null) {
        reply.put("rows", found);
      }
    } finally {
      lock.unlock();
    }
    if (reply == null) {
      exchange.sendResponseHeaders(503, -1);
      return;
    }
    answer(exchange, 200, reply);
  }

  private List<Object> changesAfter(String table, long after) {
    List<Object> found = new ArrayList<>();
    for (Row row : history) {
      if (row.ver() > after && row.table().equals(table)) {
        found.add(json(row));
      }
    }
    return found;
  }

  private void transact(HttpExchange exchange, String text) throws IOException {
    Map<String, Object> body = Json.object(Json.parse(text));
    int status = 200;
    Map<String, Object> reply;
    lock.lock();
    try {
      List<Object> current = new ArrayList<>();
      for (Object condition : Json.list(body.get("expected-rev"))) {
        Row row = rows.get(pathOf(condition));
        long ver = row == null ? 0 : row.ver();
        if (ver != ((Double) Json.object(condition).get("ver")).longValue()) {
          status = 412;
        }
        if (row != null) {
          current.add(json(row));
        }
      }
      if (status == 200) {
        version++;
        for (Object set : Json.list(body.get("set-keys"))) {
          Map<String, Object> row = Json.object(set);
          write(
              row.get("table").toString(),
              row.getOrDefault("part", "").toString(),
              row.get("key").toString(),
              row.get("value").toString());
        }
        for (Object removed : Json.list(body.get("remove"))) {
          Map<String, Object> row = Json.object(removed);
          delete(
              row.get("table").toString(),
              row.getOrDefault("part", "").toString(),
              row.get("key").toString());
        }
        changed.signalAll();
      }
      reply = reply();
      if (status == 412) {
        reply.put("rows", current);
      }
    } finally {
      lock.unlock();
    }
    answer(exchange, status, reply);
  }

  private static String pathOf(Object row) {
    Map<String, Object> map = Json.object(row);
    return Row.path(
        map.get("table").toString(),
        map.getOrDefault("part", "").toString(),
        map.get("key").toString());
  }

  private Map<String, Object> reply() {
    Map<String, Object> reply = new LinkedHashMap<>();
    reply.put("ver", version);
    reply.put("now-ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    return reply;
  }

  private static Map<String, Object> json(Row row) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("table", row.table());
    json.put("part", row.part());
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
}
