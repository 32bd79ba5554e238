package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.key.KeyRetention;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.access.AccessGate;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.TransactionStep;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against malformed requests that reach a target or get the wrong result code, against
 * answers that lose rows or headers, against statements that keep running after their caller has
 * disconnected, and against requests in flight that a server stop aborts.
 */
class CallerHttpTest {
  private static final long TIMEOUT_S = 30;
  private static final int MAX_BODY_BYTES = 2_048;
  private static final String STATEMENTS = "/v1/services/orders/statements";
  private static final String READ = "{\"statement\":\"get orders 1\",\"access\":\"read\"}";
  private static final CallerLimits LIMITS =
      new CallerLimits(
          2_000, 5_000, MAX_BODY_BYTES, 100, 1_000, 10, new KeyRetention(86_400_000, 60_000));

  private final HttpClient client = HttpClient.newHttpClient();
  private PrometheusMeterRegistry registry;
  private CoordinatorFixture fixture;
  private HttpServer server;

  @BeforeEach
  void start() {
    registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    fixture = new CoordinatorFixture(LIMITS, new CallerMetrics(registry));
    List<Object> beans =
        new ArrayList<>(CallerBeans.of(fixture.coordinator, codec(), LIMITS).beans());
    Readiness readiness = fixture.coordinator.inFlight()::reasonNotReady;
    beans.addAll(List.of(new PeerRoutes(), readiness, registry, AccessGate.off()));
    server =
        new HttpServer(
            Map.of("micronaut.server.host", "127.0.0.1", "micronaut.server.port", -1), beans);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    client.close();
  }

  private static TokenCodec codec() {
    Result<TokenCodec> codec = TokenCodec.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));
    return codec.fold(
        fault -> {
          throw new IllegalArgumentException(fault.detail());
        },
        parsed -> parsed);
  }

  private HttpResponse<String> post(String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + server.port() + path);
    return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode json(HttpResponse<String> response) {
    return Json.read(response.body(), JsonNode.class).getOrElse(Json.MAPPER.nullNode());
  }

  private void assertRefused(ResultCode code, HttpResponse<String> response) {
    assertEquals(code.httpStatus(), response.statusCode(), response.body());
    assertEquals(code.number(), json(response).path("code").asInt(), response.body());
    assertTrue(fixture.holders.statements.isEmpty());
  }

  private static Result<HolderAnswer> rows(List<String> rows) {
    return Result.success(
        new HolderAnswer(
            rows,
            new LogPosition(1, 12),
            false,
            "t2",
            Optional.of(5L),
            0,
            CoordinatorFixture.VIEW));
  }

  @Nested
  class Faults {
    @ParameterizedTest
    @CsvSource(
        delimiter = ';',
        quoteCharacter = '`',
        value = {
          "BAD_JSON;{\"statement\":",
          "BAD_JSON;{} {}",
          "BAD_JSON;{\"access\":\"read\",\"access\":\"write\",\"statement\":\"get orders 1\"}",
          "BAD_JSON;``",
          "BAD_VALUE;[]",
          "BAD_VALUE;{}",
          "BAD_VALUE;{\"statement\":\"\",\"access\":\"read\"}",
          "BAD_VALUE;{\"statement\":5,\"access\":\"read\"}",
          "BAD_VALUE;{\"statement\":\"get orders 1\",\"access\":\"peek\"}",
          "BAD_VALUE;{\"statement\":\"get orders 1\",\"access\":\"read\",\"timeoutMs\":0}",
          "BAD_VALUE;{\"statement\":\"get orders 1\",\"access\":\"read\",\"timeoutMs\":5001}",
          "BAD_VALUE;{\"statement\":\"get orders 1\",\"access\":\"read\",\"timeoutMs\":\"9\"}",
          "BAD_VALUE;{\"statement\":\"get orders 1\",\"access\":\"read\",\"maxAgeMs\":1.5}",
          "BAD_VALUE;{\"statement\":\"get orders 1\",\"access\":\"read\",\"maxAgeMs\":-1}",
          "BAD_VALUE;{\"statement\":\"add orders\",\"access\":\"write\",\"maxAgeMs\":1}",
          "UNKNOWN_FIELD;{\"statement\":\"get orders 1\",\"access\":\"read\",\"acces\":1}"
        })
    void shouldReturnOwnCodeWhenBodyIsInvalid(ResultCode code, String body) throws Exception {
      assertRefused(code, post(STATEMENTS, body));
    }

    @Test
    void shouldRefuseWhenServiceIsUnknown() throws Exception {
      assertRefused(ResultCode.UNKNOWN_SERVICE, post("/v1/services/none/statements", READ));
    }

    @Test
    void shouldRefuseWhenTokenIsInvalid() throws Exception {
      assertRefused(ResultCode.BAD_TOKEN, post(STATEMENTS, READ, CallerHeaders.SESSION, "garbage"));
    }

    @Test
    void shouldRefuseWhenKeyIsInvalid() throws Exception {
      assertRefused(ResultCode.BAD_KEY, post(STATEMENTS, READ, CallerHeaders.KEY, "garbage"));
    }

    @Test
    void shouldRefuseWhenBodyExceedsCallerLimit() throws Exception {
      assertRefused(ResultCode.BODY_TOO_LARGE, post(STATEMENTS, " ".repeat(MAX_BODY_BYTES + 1)));
    }

    @Test
    void shouldRefuseWhenBodyExceedsServerLimit() throws Exception {
      assertRefused(ResultCode.BODY_TOO_LARGE, post(STATEMENTS, " ".repeat(9 << 20)));
    }
  }

  @Nested
  class Answers {
    @Test
    void shouldReturnTokenThatNextRequestAcceptsWhenDone() throws Exception {
      fixture.holders.onExecute = statement -> rows(List.of("a"));
      HttpResponse<String> first = post(STATEMENTS, READ);
      String token = first.headers().firstValue(CallerHeaders.SESSION).orElseThrow();
      assertEquals(token, json(first).path("token").asText());
      assertEquals("done", json(first).path("outcome").asText());
      HttpResponse<String> second = post(STATEMENTS, READ, CallerHeaders.SESSION, token);
      assertEquals(ResultCode.DONE.httpStatus(), second.statusCode());
    }

    @Test
    void shouldSendRetryAfterWhenQueueIsFull() throws Exception {
      fixture.holders.onExecute =
          statement -> Result.failure(new Fault(ResultCode.QUEUE_FULL, "full", 1_200));
      HttpResponse<String> response = post(STATEMENTS, READ);
      assertEquals("2", response.headers().firstValue("Retry-After").orElse(""));
      assertEquals(1_200, json(response).path("retryAfterMs").asLong());
    }

    @Test
    void shouldStreamAllRowsWhenAnswerIsLarge() throws Exception {
      List<String> rows = new ArrayList<>();
      for (int i = 0; i < 3_000; i++) {
        rows.add(i + "\"\\é\n" + "x".repeat(1_000));
      }
      fixture.holders.onExecute = statement -> rows(rows);
      HttpResponse<String> response = post(STATEMENTS, READ);
      List<String> received = new ArrayList<>();
      json(response).path("rows").forEach(row -> received.add(row.asText()));
      assertEquals(rows, received);
      assertFalse(response.headers().firstValue("Content-Length").isPresent());
    }

    @Test
    void shouldBeginTransactionWhenBodyIsEmpty() throws Exception {
      HttpResponse<String> response = post("/v1/services/orders/transactions", "");
      assertEquals("vm-a:1", json(response).path("transaction").asText());
    }

    @Test
    void shouldCountReadsAndFaultsWhenRequestsAreAnswered() throws Exception {
      post(STATEMENTS, "[]");
      fixture.holders.onExecute = statement -> rows(List.of());
      post(STATEMENTS, READ);
      String metrics = get("/metrics").body();
      assertTrue(metrics.contains("lycheejunction_reads_total{role=\"replica\""), metrics);
      assertEquals(ResultCode.BAD_VALUE, fixture.coordinator.faultCounts().counts().get(0).code());
    }

    @Test
    void shouldNotBeReadyWhenShuttingDown() throws Exception {
      fixture.coordinator.inFlight().stopAdmission();
      assertEquals(503, get("/health/ready").statusCode());
    }
  }

  @Nested
  class Disconnect {
    private final CountDownLatch running = new CountDownLatch(1);
    private final CountDownLatch interrupted = new CountDownLatch(1);

    private <T> Result<T> blockUntilInterrupted() {
      running.countDown();
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        interrupted.countDown();
      }
      return Result.failure(ResultCode.UNKNOWN_OUTCOME, "interrupted");
    }

    private void sendAndDisconnect(String path, String body) throws Exception {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
        String head =
            "POST "
                + path
                + " HTTP/1.1\r\nHost: localhost\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        assertTrue(running.await(TIMEOUT_S, TimeUnit.SECONDS));
      }
      assertTrue(interrupted.await(TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void shouldInterruptStatementWhenCallerDisconnects() throws Exception {
      fixture.holders.onExecute = statement -> blockUntilInterrupted();
      sendAndDisconnect(STATEMENTS, READ);
    }

    @Test
    void shouldRollBackTransactionWhenCallerDisconnects() throws Exception {
      CountDownLatch rolledBack = new CountDownLatch(1);
      fixture.holders.onStep =
          step -> {
            if (step.action().kind() == TransactionStep.Kind.STATEMENT) {
              return blockUntilInterrupted();
            }
            rolledBack.countDown();
            return rows(List.of());
          };
      sendAndDisconnect("/v1/services/orders/transactions/vm-a:1/statements", READ);
      assertTrue(rolledBack.await(TIMEOUT_S, TimeUnit.SECONDS));
    }
  }

  @Nested
  class ShutDown {
    private final CountDownLatch running = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    private Result<HolderAnswer> blockUntilReleased() {
      running.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return Result.failure(ResultCode.UNKNOWN_OUTCOME, "interrupted");
      }
      return rows(List.of("whole"));
    }

    private void awaitRefusedConnections(int port) {
      while (true) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
          Thread.onSpinWait();
        } catch (IOException e) {
          return;
        }
      }
    }

    @Test
    void shouldFinishRequestInFlightWhenServerStops() throws Exception {
      fixture.holders.onExecute = statement -> blockUntilReleased();
      int port = server.port();
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + STATEMENTS))
              .POST(HttpRequest.BodyPublishers.ofString(READ))
              .build();
      final CompletableFuture<HttpResponse<String>> response =
          client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
      assertTrue(running.await(TIMEOUT_S, TimeUnit.SECONDS));
      final Thread stopping = Thread.ofVirtual().start(() -> server.stop());
      awaitRefusedConnections(port);
      released.countDown();
      assertEquals("whole", json(response.get()).path("rows").path(0).asText());
      stopping.join();
    }
  }
}
