package io.lycheejunction.bench.config;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.lycheejunction.proxy.forward.PeerRoutes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** An HTTP server for messages of other proxies that counts the bytes of requests and replies. */
final class PeerEndpoint implements AutoCloseable {
  private static final int BACKLOG_CONNECTIONS = 256;

  /** The colon, the space and the line break of a header line. */
  private static final int HEADER_SEPARATOR_BYTES = 4;

  private static final int HTTP_OK = 200;

  private final HttpServer server;
  private final Traffic traffic;

  PeerEndpoint(String ip, PeerRoutes routes, Traffic traffic) {
    this.traffic = traffic;
    try {
      this.server = HttpServer.create(new InetSocketAddress(ip, 0), BACKLOG_CONNECTIONS);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + ip, e);
    }
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/peer/", exchange -> serve(exchange, routes));
  }

  /** Returns the address as {@code ip:port}. */
  String address() {
    InetSocketAddress address = server.getAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  void start() {
    server.start();
  }

  private void serve(HttpExchange exchange, PeerRoutes routes) throws IOException {
    try (exchange) {
      byte[] request = exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath();
      byte[] reply =
          routes
              .handle(path, new String(request, StandardCharsets.UTF_8))
              .getBytes(StandardCharsets.UTF_8);
      traffic.peerBytes.add(
          request.length + headerBytes(exchange) + reply.length + Traffic.REPLY_HEADER_BYTES);
      exchange.sendResponseHeaders(HTTP_OK, reply.length);
      exchange.getResponseBody().write(reply);
    }
  }

  private static long headerBytes(HttpExchange exchange) {
    long bytes = "POST  HTTP/1.1\r\n\r\n".length() + exchange.getRequestURI().getPath().length();
    for (Map.Entry<String, List<String>> header : exchange.getRequestHeaders().entrySet()) {
      for (String value : header.getValue()) {
        bytes += header.getKey().length() + value.length() + HEADER_SEPARATOR_BYTES;
      }
    }
    return bytes;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
