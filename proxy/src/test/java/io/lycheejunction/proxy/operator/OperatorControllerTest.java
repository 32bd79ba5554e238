package io.lycheejunction.proxy.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.core.access.AccessKeys;
import io.lycheejunction.core.access.Grant;
import io.lycheejunction.core.access.Scope;
import io.lycheejunction.proxy.access.AccessGate;
import io.lycheejunction.proxy.caller.HttpServer;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.standin.model.FaultInjector;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OperatorControllerTest {
  private static final long TIMEOUT_MS = 10_000;

  @Test
  void shouldReturnHttpStatusOfResultCodeWhenStatementIsPosted() {
    Fleet.Node node = Fleet.of(FaultInjector.NONE).node("vm-a");
    Readiness ready = Optional::empty;
    HttpServer server =
        new HttpServer(
            Map.of("micronaut.server.host", "127.0.0.1", "micronaut.server.port", -1),
            List.of(node.routes(), ready, node.operator(), AccessGate.off()));
    server.start();
    try (BlockingHttpClient http = BlockingHttpClient.plain(Optional.empty())) {
      String address = "127.0.0.1:" + server.port();
      assertAnswer(200, "DONE", send(http, address, Fleet.CREATE_GROUP));
      assertAnswer(422, "INVALID_CHANGE", send(http, address, Fleet.CREATE_GROUP));
      assertAnswer(400, "SYNTAX_ERROR", send(http, address, "create"));
    } finally {
      server.stop();
    }
  }

  @Test
  void shouldRefuseChangesWhenCredentialAllowsReadsOnly() {
    Fleet.Node node = Fleet.of(FaultInjector.NONE).node("vm-a");
    Readiness ready = Optional::empty;
    Grant read = Grant.of(new Scope.OperatorRead(), "read-key");
    Grant change = Grant.of(new Scope.OperatorChange(), "change-key");
    AccessGate gate = AccessGate.of(AccessKeys.of(List.of(read, change)));
    HttpServer server =
        new HttpServer(
            Map.of("micronaut.server.host", "127.0.0.1", "micronaut.server.port", -1),
            List.of(node.routes(), ready, node.operator(), gate));
    server.start();
    try (BlockingHttpClient http = BlockingHttpClient.plain(Optional.empty())) {
      String address = "127.0.0.1:" + server.port();
      List<String> changes =
          List.of(Fleet.CREATE_GROUP, "drain target a1", "shutdown proxy vm-a", "promote a1");
      for (String statement : changes) {
        assertAnswer(403, "NOT_ALLOWED", send(http, address, statement, "read-key"));
      }
      assertAnswer(200, "DONE", send(http, address, "show groups", "read-key"));
      assertAnswer(200, "DONE", send(http, address, "show groups", "change-key"));
      assertAnswer(200, "DONE", send(http, address, Fleet.CREATE_GROUP, "change-key"));
    } finally {
      server.stop();
    }
  }

  private static HttpReply send(
      BlockingHttpClient http, String address, String command, String key) {
    String body = Json.write(Map.of("command", command));
    List<String> headers = List.of("Authorization", "Bearer " + key);
    return http.send("POST", address, "/v1/operator", body, headers, TIMEOUT_MS);
  }

  private static HttpReply send(BlockingHttpClient http, String address, String command) {
    String body = Json.write(Map.of("command", command));
    return http.send("POST", address, "/v1/operator", body, List.of(), TIMEOUT_MS);
  }

  private static void assertAnswer(int status, String name, HttpReply reply) {
    HttpReply.Answer answer = assertInstanceOf(HttpReply.Answer.class, reply);
    assertEquals(status, answer.status(), answer.body());
    assertEquals(
        Optional.of(name),
        Json.read(answer.body(), OperatorReply.class)
            .fold(fault -> Optional.empty(), parsed -> Optional.of(parsed.name())));
  }
}
