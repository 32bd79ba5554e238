import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's endpoint for promotions; it checks fencing tokens only if told so. */
final class Duties implements AutoCloseable {

  /** Called for each promotion that is accepted. */
  interface Listener {
    void ordered(String holder, long token, String service, String id);
  }

  private final HttpServer server;
  private final Record record;
  private final Group group;
  private final boolean fenced;
  private final Listener listener;
  private long highest;

  Duties(Record record, Group group, boolean fenced, Listener listener) throws IOException {
    this.record = record;
    this.group = group;
    this.fenced = fenced;
    this.listener = listener;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/promote", this::promote);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void promote(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, Object> order = Json.object(Json.read(body));
      String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
      long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
      String service = (String) order.get("backend");
      String id = (String) order.get("id");
      int status;
      synchronized (this) {
        boolean stale = token < highest;
        highest = Math.max(highest, token);
        status = fenced && stale || !group.canPromote(id) ? 409 : 200;
      }
      record.line(
          "platform",
          "POST /promote " + service + " " + id + " holder=" + holder + " token=" + token
              + " -> " + status);
      listener.ordered(holder, token, service, id);
      if (status == 200) {
        group.promote(id);
      }
      exchange.sendResponseHeaders(status, -1);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
