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

/** An HTTP server on one port that can be closed and reopened. */
final class Endpoint {
  private static final int BACKLOG = 1024;

  /** Both the idle time in seconds and the number of idle connections that are kept open. */
  private static final String IDLE_LIMIT = "100000";

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.idleInterval", IDLE_LIMIT);
    System.setProperty("sun.net.httpserver.maxIdleConnections", IDLE_LIMIT);
  }

  /**
   * An HTTP response.
   *
   * @param status the HTTP status
   * @param body the JSON body
   */
  record Response(int status, String body) {
    static Response ok(Object value) {
      return new Response(200, Json.write(value));
    }
  }

  /** Handles requests; an empty result closes the connection without a response. */
  interface Handler {
    Optional<Response> handle(HttpExchange exchange, String body)
        throws IOException, InterruptedException;
  }

  private InetSocketAddress address;
  private HttpServer server;
  private ExecutorService executor;
  private Handler handler;

  /** Binds the port; port 0 selects a free one, which is kept when the endpoint is reopened. */
  Endpoint(InetSocketAddress requestedAddress) {
    address = requestedAddress;
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

  /** Starts to serve requests with the handler. */
  synchronized void start(Handler requestHandler) {
    handler = requestHandler;
    listen();
  }

  private void listen() {
    executor = Executors.newVirtualThreadPerTaskExecutor();
    server.setExecutor(executor);
    server.createContext("/", this::serve);
    server.start();
  }

  /** Binds the same port again if the endpoint is closed. */
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

  /** Returns the address as {@code ip:port}. */
  synchronized String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Optional<Response> response = handler.handle(exchange, body);
      if (response.isPresent()) {
        send(exchange, response.get());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void send(HttpExchange exchange, Response response) throws IOException {
    byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(response.status(), bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
