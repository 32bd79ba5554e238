package io.lycheejunction.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.lycheejunction.common.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** One HTTP port that can be closed and opened again. */
final class Endpoint {
  private static final int BACKLOG = 1024;
  private static final String IDLE_LIMIT = "100000";

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.idleInterval", IDLE_LIMIT);
    System.setProperty("sun.net.httpserver.maxIdleConnections", IDLE_LIMIT);
  }

  /**
   * One answer.
   *
   * @param status the HTTP status
   * @param body the JSON body
   */
  record Answer(int status, String body) {
    static Answer ok(Object value) {
      return new Answer(200, Json.write(value));
    }
  }

  /** Answers requests; an empty answer closes the connection. */
  interface Handler {
    Optional<Answer> handle(HttpExchange exchange, String body)
        throws IOException, InterruptedException;
  }

  private InetSocketAddress address;
  private HttpServer server;
  private ExecutorService executor;
  private Handler handler;

  /** Takes a port, which stays the same from then on. */
  Endpoint(InetSocketAddress wanted) {
    address = wanted;
    bind();
    address = server.getAddress();
  }

  private void bind() {
    try {
      server = HttpServer.create(address, BACKLOG);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + address, e);
    }
  }

  /** Serves requests with the handler. */
  synchronized void start(Handler first) {
    handler = first;
    listen();
  }

  private void listen() {
    executor = Executors.newVirtualThreadPerTaskExecutor();
    server.setExecutor(executor);
    server.createContext("/", this::serve);
    server.start();
  }

  /** Opens the closed port again. */
  synchronized void reopen() {
    if (server == null) {
      bind();
      listen();
    }
  }

  /** Closes the port and all its connections. */
  synchronized void close() {
    if (server == null) {
      return;
    }
    server.stop(0);
    executor.shutdownNow();
    server = null;
  }

  synchronized String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Optional<Answer> answer = handler.handle(exchange, body);
      if (answer.isPresent()) {
        send(exchange, answer.get());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void send(HttpExchange exchange, Answer answer) throws IOException {
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
