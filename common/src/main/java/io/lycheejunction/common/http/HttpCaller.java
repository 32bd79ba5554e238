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

/** Sends HTTP requests over kept-alive connections; the methods block the calling thread. */
public final class HttpCaller implements AutoCloseable {
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  private final HttpClient client;
  private final String scheme;

  private HttpCaller(HttpClient client, String scheme) {
    this.client = client;
    this.scheme = scheme;
  }

  /**
   * Returns a caller without TLS that binds its connections to a local address.
   *
   * @param localAddress the address to send from, if it matters
   * @return the caller
   */
  public static HttpCaller plain(Optional<InetAddress> localAddress) {
    return new HttpCaller(builder(localAddress).build(), "http");
  }

  /**
   * Returns a caller that uses TLS.
   *
   * @param localAddress the address to send from, if it matters
   * @param tls the context with the trusted certificates and the own key
   * @return the caller
   */
  public static HttpCaller tls(Optional<InetAddress> localAddress, SSLContext tls) {
    return new HttpCaller(builder(localAddress).sslContext(tls).build(), "https");
  }

  private static HttpClient.Builder builder(Optional<InetAddress> localAddress) {
    HttpClient.Builder builder =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
            .executor(Executors.newVirtualThreadPerTaskExecutor());
    localAddress.ifPresent(builder::localAddress);
    return builder;
  }

  /**
   * Returns what became of a request.
   *
   * @param method the HTTP method
   * @param address the server as {@code ip:port}
   * @param path the path with its query
   * @param body the JSON body, empty for none
   * @param headers names and values in turn
   * @param timeoutMs the time to wait for the whole answer, in milliseconds
   * @return the reply
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

  /** Closes idle connections and ends those in use. */
  @Override
  public void close() {
    client.shutdownNow();
  }
}
