package io.lycheejunction.common.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import javax.net.ssl.SSLContext;

/** Blocking HTTP/1.1 client that keeps connections alive between requests. */
public final class BlockingHttpClient implements AutoCloseable {
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  private final HttpClient client;
  private final String scheme;

  private BlockingHttpClient(HttpClient client, String scheme) {
    this.client = client;
    this.scheme = scheme;
  }

  /**
   * Returns a client without TLS.
   *
   * @param localAddress the local address of all connections; empty for any
   * @return the client
   */
  public static BlockingHttpClient plain(Optional<InetAddress> localAddress) {
    return new BlockingHttpClient(clientBuilder(localAddress).build(), "http");
  }

  /**
   * Returns a client that uses TLS.
   *
   * @param localAddress the local address of all connections; empty for any
   * @param tls the trusted certificates and the client's own key
   * @return the client
   */
  public static BlockingHttpClient tls(Optional<InetAddress> localAddress, SSLContext tls) {
    return new BlockingHttpClient(clientBuilder(localAddress).sslContext(tls).build(), "https");
  }

  private static HttpClient.Builder clientBuilder(Optional<InetAddress> localAddress) {
    HttpClient.Builder builder =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
            .executor(Executors.newVirtualThreadPerTaskExecutor());
    localAddress.ifPresent(builder::localAddress);
    return builder;
  }

  /**
   * Returns the outcome of a request.
   *
   * @param method the HTTP method
   * @param address the server as {@code ip:port}
   * @param path the path with its query
   * @param body the JSON body; empty for a request without body
   * @param headers alternating header names and values
   * @param timeoutMs the time limit for the complete response, in milliseconds
   * @return the response, or why there is none
   */
  public HttpReply send(
      String method,
      String address,
      String path,
      String body,
      List<String> headers,
      long timeoutMs) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(scheme + "://" + address + path))
            .timeout(Duration.ofMillis(Math.max(1, timeoutMs)));
    if (body.isEmpty()) {
      request.method(method, HttpRequest.BodyPublishers.noBody());
    } else {
      request.method(method, HttpRequest.BodyPublishers.ofString(body));
      request.header("Content-Type", "application/json");
    }
    if (!headers.isEmpty()) {
      request.headers(headers.toArray(String[]::new));
    }
    return exchange(request.build());
  }

  private HttpReply exchange(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new HttpReply.Answer(response.statusCode(), response.body());
    } catch (HttpConnectTimeoutException e) {
      return new HttpReply.NotSent(false, "connection timed out");
    } catch (ConnectException e) {
      return new HttpReply.NotSent(true, "connection refused");
    } catch (IOException e) {
      return new HttpReply.Lost(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new HttpReply.Lost("interrupted");
    }
  }

  /** Closes idle connections and aborts requests in progress. */
  @Override
  public void close() {
    client.shutdownNow();
  }
}
