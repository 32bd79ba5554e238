package io.lycheejunction.proxy.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.common.wire.TargetAnswer;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.Standin;
import io.lycheejunction.standin.StandinSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the HTTP adapter against the simulated instances of the stand-in server.
 *
 * <p>Guards against a lost or foreign answer that is taken for the answer to a request, which would
 * report a wrong outcome of a write, and against reuse of a session whose state is unknown.
 */
class HttpTargetPortTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final long SHORT_MS = 50;
  private static final List<String> DOMAINS = List.of("ikeja", "lekki", "apapa");

  private Standin standin;
  private BlockingHttpClient http;
  private HttpTargetPort port;
  private TargetSpec primary;

  @BeforeEach
  void start() throws IOException {
    GroupSettings group = new GroupSettings("g", 3, 2, 2, 0, 0, 0);
    StandinSettings settings = new StandinSettings("127.0.0.1", 0, 0, DOMAINS, 0, List.of(group));
    standin = new Standin(settings, new SystemRuntimeClock());
    http = BlockingHttpClient.plain(Optional.of(InetAddress.getByName("127.0.2.1")));
    port = new HttpTargetPort(http);
    primary = standin.group("g").targets().getFirst();
  }

  @AfterEach
  void stop() {
    http.close();
    standin.close();
  }

  private TargetConnection open() {
    return port.openSession(primary, TIMEOUT_MS).getOrElse(null);
  }

  private static TargetRequest append(String key, long timeoutMs) {
    return new TargetRequest(
        "id-1", 1, Access.WRITE, "append o k {\"n\": 1}", Optional.of(key), timeoutMs);
  }

  private int rows() {
    return standin.group("g").ledger(primary.name(), "o").size();
  }

  private static Fault fault(Result<?> result) {
    return result.fold(fault -> fault, value -> null);
  }

  @Nested
  class Status {
    @Test
    void shouldReturnPositionsWhenInstanceAnswers() {
      TargetStatus status = port.status(primary, TIMEOUT_MS).getOrElse(null);
      assertEquals(standin.group("g").status(primary.name()), status);
      assertEquals(Role.PRIMARY, status.role());
    }

    @Test
    void shouldReportRefusedConnectionWhenInstanceHasCrashed() {
      standin.injectFault(new FaultMessage.Crash(primary.name()));
      Fault fault = fault(port.status(primary, TIMEOUT_MS));
      assertEquals(ResultCode.TARGET_UNREACHABLE, fault.code());
      assertTrue(fault.detail().startsWith("refused"));
      standin.injectFault(new FaultMessage.Restart(primary.name()));
      assertFalse(port.status(primary, TIMEOUT_MS).isEmpty());
    }

    @Test
    void shouldNotReportRefusedConnectionWhenLinkIsCut() {
      standin.injectFault(new FaultMessage.Cut("ikeja", "lekki"));
      assertFalse(fault(port.status(primary, SHORT_MS)).detail().startsWith("refused"));
      standin.injectFault(new FaultMessage.HealAll());
      assertFalse(port.status(primary, TIMEOUT_MS).isEmpty());
    }
  }

  @Nested
  class Execute {
    @Test
    void shouldReturnRowsWhenStatementRan() {
      TargetConnection connection = open();
      assertInstanceOf(TargetReply.Answered.class, connection.execute(append("key", TIMEOUT_MS)));
      TargetReply.Answered again =
          (TargetReply.Answered) connection.execute(append("key", TIMEOUT_MS));
      assertTrue(again.replayed());
      assertEquals(new LogPosition(1, 2), again.position());
      assertEquals(1, rows());
    }

    @Test
    void shouldReturnUnknownReplyWhenInstanceIsPaused() {
      TargetConnection connection = open();
      standin.injectFault(new FaultMessage.Pause(primary.name()));
      assertInstanceOf(TargetReply.Unknown.class, connection.execute(append("key", SHORT_MS)));
      assertFalse(connection.isUsable());
      assertEquals(0, rows());
      standin.injectFault(new FaultMessage.Resume(primary.name()));
      assertInstanceOf(TargetReply.Answered.class, open().execute(append("key", TIMEOUT_MS)));
      assertEquals(1, rows());
    }

    @Test
    void shouldNotRunWhenSessionWasLost() {
      TargetConnection connection = open();
      standin.injectFault(new FaultMessage.Crash(primary.name()));
      standin.injectFault(new FaultMessage.Restart(primary.name()));
      TargetReply reply = connection.execute(append("key", TIMEOUT_MS));
      assertFalse(reply instanceof TargetReply.Answered);
      assertFalse(connection.isUsable());
      assertEquals(0, rows());
    }

    @Test
    void shouldReturnUnknownReplyWhenAnswerBelongsToAnotherRequest() throws IOException {
      HttpServer otherServer =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
      otherServer.createContext(
          "/",
          exchange -> {
            String body =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            TargetAnswer answer =
                body.contains("\"open\"")
                    ? new TargetAnswer.Opened(Json.MAPPER.readTree(body).get("c").asText(), "s")
                    : new TargetAnswer.Rows("other", List.of(), LogPosition.ORIGIN, false);
            byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
          });
      otherServer.start();
      TargetSpec target =
          new TargetSpec("x", "lekki", "127.0.0.1:" + otherServer.getAddress().getPort());
      TargetConnection connection = port.openSession(target, TIMEOUT_MS).getOrElse(null);
      assertInstanceOf(TargetReply.Unknown.class, connection.execute(append("k", TIMEOUT_MS)));
      assertFalse(connection.isUsable());
      otherServer.stop(0);
    }
  }

  @Nested
  class Commit {
    @Test
    void shouldWriteWhenTransactionIsCommitted() {
      TargetConnection connection = open();
      connection.beginTransaction(1, TIMEOUT_MS);
      connection.execute(append("unused", TIMEOUT_MS));
      assertEquals(0, rows());
      connection.commit(Optional.of("key"), TIMEOUT_MS);
      assertEquals(1, rows());
      assertInstanceOf(
          KeyOutcome.Recorded.class, port.lookUp(primary, 1, "key", TIMEOUT_MS).getOrElse(null));
      assertInstanceOf(
          KeyOutcome.Cancelled.class, port.cancel(primary, 1, "other", TIMEOUT_MS).getOrElse(null));
    }
  }

  @Nested
  class Open {
    @Test
    void shouldRefuseWhenAllConnectionsAreInUse() {
      open();
      open();
      assertEquals(ResultCode.NO_CONNECTION, fault(port.openSession(primary, TIMEOUT_MS)).code());
    }
  }

  @Nested
  class Promote {
    @Test
    void shouldMovePrimaryWhenTermIsClaimed() {
      List<TargetSpec> targets = standin.group("g").targets();
      assertFalse(port.fence(targets.get(1), 2, "me", TIMEOUT_MS).isEmpty());
      assertFalse(port.fence(targets.get(2), 2, "me", TIMEOUT_MS).isEmpty());
      assertEquals(
          ResultCode.TERM_TAKEN, fault(port.fence(targets.get(2), 2, "you", TIMEOUT_MS)).code());
      TargetStatus promoted = port.promote(targets.get(1), 2, "me", TIMEOUT_MS).getOrElse(null);
      assertEquals(Role.PRIMARY, promoted.role());
      TargetStatus old =
          port.awaitReceived(primary, promoted.received(), TIMEOUT_MS).getOrElse(null);
      assertEquals(Role.REPLICA, old.role());
      assertEquals(promoted.received(), old.received());
    }
  }
}
