package io.lycheejunction.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Sends statements to proxies as callers do, with a simulated network delay in each direction. */
public final class CallerClient {
  private static final long HTTP_TIMEOUT_MARGIN_MS = 3_000;

  private final BlockingHttpClient http;
  private final RuntimeClock clock;
  private final long delayMs;

  /**
   * Creates a client.
   *
   * @param http the client that sends the requests
   * @param clock the clock that the delays sleep on
   * @param delayMs the one-way delay between caller and proxy, in milliseconds
   */
  public CallerClient(BlockingHttpClient http, RuntimeClock clock, long delayMs) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.delayMs = delayMs;
  }

  /**
   * Sends a statement and returns the proxy's reply.
   *
   * @param proxy the proxy's address as {@code ip:port}
   * @param statement the statement, which also sets the timeout
   * @return the reply; connection failures are replies, too
   * @throws InterruptedException if the thread is interrupted
   */
  public CallerReply send(String proxy, Statement statement) throws InterruptedException {
    String path = "/v1/services/" + statement.service() + "/statements";
    return exchange(
        "POST", proxy, path, body(statement), headers(statement), statement.timeoutMs());
  }

  /**
   * Returns the outcome that the proxy reports for an idempotency key.
   *
   * @param proxy the proxy's address as {@code ip:port}
   * @param service the name of the service
   * @param key the idempotency key of an earlier write
   * @param timeoutMs the timeout of the request, in milliseconds
   * @return the reply; connection failures are replies, too
   * @throws InterruptedException if the thread is interrupted
   */
  public CallerReply outcome(String proxy, String service, String key, long timeoutMs)
      throws InterruptedException {
    String path = "/v1/services/" + service + "/outcomes/" + key;
    return exchange("GET", proxy, path, "", List.of(), timeoutMs);
  }

  private CallerReply exchange(
      String method, String proxy, String path, String body, List<String> headers, long timeoutMs)
      throws InterruptedException {
    clock.sleepMs(delayMs);
    HttpReply reply =
        http.send(method, proxy, path, body, headers, timeoutMs + HTTP_TIMEOUT_MARGIN_MS);
    clock.sleepMs(delayMs);
    return switch (reply) {
      case HttpReply.Answer(int status, String text) -> decode(status, text);
      case HttpReply.NotSent notSent -> new CallerReply.NotSent();
      case HttpReply.Lost(String detail) -> new CallerReply.Incomplete(detail);
    };
  }

  private static String body(Statement statement) {
    ObjectNode body = Json.MAPPER.createObjectNode();
    body.put("statement", statement.text());
    body.put("access", statement.write() ? "write" : "read");
    body.put("timeoutMs", statement.timeoutMs());
    statement.maxAgeMs().ifPresent(maxAgeMs -> body.put("maxAgeMs", maxAgeMs));
    if (statement.newSession()) {
      body.put("newSession", true);
    }
    return body.toString();
  }

  private static List<String> headers(Statement statement) {
    List<String> headers = new ArrayList<>();
    statement.key().ifPresent(key -> headers.addAll(List.of("Idempotency-Key", key)));
    statement.token().ifPresent(token -> headers.addAll(List.of("Lycheejunction-Session", token)));
    return headers;
  }

  private static CallerReply decode(int status, String text) {
    Result<JsonNode> parsed = Json.read(text, JsonNode.class);
    return parsed.fold(
        fault -> new CallerReply.Incomplete("status " + status + " with a malformed body"),
        json -> toAnswer(status, json));
  }

  private static CallerReply toAnswer(int status, JsonNode json) {
    if (!json.hasNonNull("code") || !json.hasNonNull("outcome")) {
      return new CallerReply.Incomplete("status " + status + " without a result code");
    }
    List<String> rows = new ArrayList<>();
    json.path("rows").forEach(row -> rows.add(row.isTextual() ? row.asText() : row.toString()));
    return new CallerReply.Answer(
        json.get("code").asInt(),
        json.get("outcome").asText(),
        rows,
        Optional.ofNullable(json.path("token").asText(null)),
        json.path("target").asText(""),
        json.path("detail").asText(""));
  }
}
