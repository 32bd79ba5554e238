package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.access.AccessKeys;
import io.lycheejunction.core.access.Grant;
import io.lycheejunction.core.access.RequiredAccess;
import io.lycheejunction.core.access.Scope;
import io.lycheejunction.core.key.KeyRetention;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.access.AccessGate;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.ApplicationContext;
import io.micronaut.web.router.Router;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against routes that serve a request without a credential of the required scope, for
 * example because a new route has no access rule or a path is encoded differently, and against
 * answers that disclose a key.
 */
class AccessHttpTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final CallerLimits LIMITS =
      new CallerLimits(2_000, 5_000, 2_048, 100, 1_000, 10, new KeyRetention(86_400_000, 60_000));
  private static final Map<String, Scope> KEYS =
      Map.of(
          "orders-key", new Scope.Caller("orders"),
          "billing-key", new Scope.Caller("billing"),
          "read-key", new Scope.OperatorRead(),
          "change-key", new Scope.OperatorChange(),
          "peer-key", new Scope.Peer());

  private final BlockingHttpClient http = BlockingHttpClient.plain(Optional.empty());
  private final AtomicInteger peerCalls = new AtomicInteger();
  private CoordinatorFixture fixture;
  private HttpServer server;

  @BeforeEach
  void start() {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    fixture = new CoordinatorFixture(LIMITS, new CallerMetrics(registry));
    TokenCodec tokens =
        TokenCodec.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8))
            .fold(
                fault -> {
                  throw new IllegalArgumentException(fault.detail());
                },
                parsed -> parsed);
    List<Object> beans =
        new ArrayList<>(CallerBeans.of(fixture.coordinator, tokens, LIMITS).beans());
    PeerRoutes routes = new PeerRoutes();
    routes.add("/peer/count", String.class, text -> Result.success(peerCalls.incrementAndGet()));
    Readiness ready = Optional::empty;
    List<Grant> grants =
        KEYS.entrySet().stream().map(entry -> Grant.of(entry.getValue(), entry.getKey())).toList();
    beans.addAll(List.of(routes, ready, registry, AccessGate.of(AccessKeys.of(grants))));
    server =
        new HttpServer(
            Map.of("micronaut.server.host", "127.0.0.1", "micronaut.server.port", -1), beans);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    http.close();
  }

  private HttpReply.Answer send(String method, String path, List<String> headers) {
    String body = method.equals("GET") ? "" : "\"x\"";
    HttpReply reply =
        http.send(method, "127.0.0.1:" + server.port(), path, body, headers, TIMEOUT_MS);
    return assertInstanceOf(HttpReply.Answer.class, reply);
  }

  private static List<String> bearer(String key) {
    return List.of("Authorization", "Bearer " + key);
  }

  private static void assertRefused(ResultCode code, String path, HttpReply.Answer answer) {
    assertEquals(code.httpStatus(), answer.status(), path + ": " + answer.body());
    JsonNode json = Json.read(answer.body(), JsonNode.class).getOrElse(Json.MAPPER.nullNode());
    String name =
        path.startsWith("/peer/")
            ? json.path("fault").path("code").asText()
            : json.path("name").asText();
    assertEquals(code.name(), name, answer.body());
    KEYS.keySet().forEach(key -> assertFalse(answer.body().contains(key), answer.body()));
    assertFalse(answer.body().contains("wrong-key"), answer.body());
  }

  private static boolean isRefused(HttpReply.Answer answer) {
    return answer.status() == ResultCode.NO_CREDENTIAL.httpStatus()
        || answer.status() == ResultCode.NOT_ALLOWED.httpStatus();
  }

  @ParameterizedTest
  @CsvSource({
    "POST, /v1/services/orders/statements, orders-key",
    "POST, /v1/services/orders/transactions, orders-key",
    "POST, /v1/services/orders/transactions/t1/statements, orders-key",
    "POST, /v1/services/orders/transactions/t1/commit, orders-key",
    "POST, /v1/services/orders/transactions/t1/rollback, orders-key",
    "GET, /v1/services/orders/outcomes/k1, orders-key",
    "POST, /v1/operator, read-key change-key",
    "GET, /metrics, read-key change-key",
    "POST, /peer/count, peer-key",
    "GET, /metrics/, ''",
    "POST, /v1/services/%6frders/statements, ''",
    "POST, /v1/services/orders/, ''",
    "POST, /unknown, ''",
    "GET, /, ''",
    "DELETE, /health, ''"
  })
  void shouldRefuseWithOwnCodeWhenCredentialIsMissingWrongOrOutOfScope(
      String method, String path, String allowed) {
    assertRefused(ResultCode.NO_CREDENTIAL, path, send(method, path, List.of()));
    assertRefused(ResultCode.WRONG_CREDENTIAL, path, send(method, path, bearer("wrong-key")));
    List<String> basic = List.of("Authorization", "Basic orders-key");
    assertRefused(ResultCode.WRONG_CREDENTIAL, path, send(method, path, basic));
    for (String key : KEYS.keySet()) {
      if (!List.of(allowed.split(" ")).contains(key)) {
        assertRefused(ResultCode.NOT_ALLOWED, path, send(method, path, bearer(key)));
      }
    }
    assertTrue(fixture.holders.statements.isEmpty());
    assertEquals(0, peerCalls.get());
    if (path.equals(RequiredAccess.OPERATOR_PATH) || allowed.isEmpty()) {
      return; // OperatorControllerTest checks that operator keys are accepted
    }
    for (String key : allowed.split(" ")) {
      assertFalse(isRefused(send(method, path, bearer(key))), key);
    }
  }

  @Test
  void shouldAnswerWithoutCredentialWhenAskedForHealth() {
    assertEquals(200, send("GET", "/health/live", List.of()).status());
    assertEquals(200, send("GET", "/health/ready", List.of()).status());
  }

  @Test
  void shouldMapEveryServerRouteToItsRequiredScope() {
    try (ApplicationContext context = ApplicationContext.run()) {
      List<String> paths =
          context
              .getBean(Router.class)
              .uriRoutes()
              .map(route -> route.getUriMatchTemplate().toString())
              .map(path -> path.replace("{service}", "orders").replaceAll("\\{[^}]*}", "x"))
              .toList();
      assertTrue(paths.size() >= 11, paths.toString());
      for (String path : paths) {
        RequiredAccess required = RequiredAccess.ofPath(path);
        assertFalse(required instanceof RequiredAccess.UnservedPath, path);
        assertEquals(path.startsWith("/health/"), required instanceof RequiredAccess.Public, path);
      }
    }
  }
}
