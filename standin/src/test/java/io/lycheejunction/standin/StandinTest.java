package io.lycheejunction.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.core.port.Role;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StandinTest {
  private static final long TIMEOUT_MS = 10_000;

  private Standin standin;
  private BlockingHttpClient http;

  @BeforeEach
  void start() throws IOException {
    StandinSettings settings =
        new StandinSettings("127.0.0.1", 0, 0, List.of("ikeja", "lekki"), 0, List.of());
    standin = new Standin(settings, new SystemRuntimeClock());
    http = BlockingHttpClient.plain(Optional.empty());
  }

  @AfterEach
  void stop() {
    http.close();
    standin.close();
  }

  private HttpReply send(String method, String path, String body) {
    return http.send(method, standin.address(), path, body, List.of(), TIMEOUT_MS);
  }

  private static int status(HttpReply reply) {
    return reply instanceof HttpReply.Answer answer ? answer.status() : 0;
  }

  private void createGroup() {
    String body =
        """
        {"name":"g","instances":3,"slots":2,"connections":5,
         "connectMs":0,"executeMs":0,"replicaLagMs":0}
        """;
    assertEquals(200, status(send("POST", "/groups", body)));
  }

  @Nested
  class Groups {
    @Test
    void shouldSpreadInstancesWhenGroupIsCreated() {
      createGroup();
      assertEquals(
          List.of("ikeja", "lekki", "ikeja"),
          standin.group("g").targets().stream().map(target -> target.failureDomain()).toList());
      assertTrue(send("GET", "/groups", "").okBody().orElse("").contains("g-3"));
      assertTrue(send("GET", "/vms", "").okBody().orElse("").contains("g-3"));
      assertEquals("[]", send("GET", "/groups/g/ledger/orders", "").okBody().orElse(""));
      assertEquals(200, status(send("GET", "/groups/g/log/g-2", "")));
    }

    @Test
    void shouldAnswerBadRequestWhenInputIsInvalid() {
      assertEquals(400, status(send("POST", "/groups", "{}")));
      assertEquals(400, status(send("POST", "/groups", "{")));
      assertEquals(400, status(send("GET", "/groups/none/log/x", "")));
      assertEquals(400, status(send("POST", "/nothing", "{}")));
    }
  }

  @Nested
  class Faults {
    @Test
    void shouldCrashAndRestartInstanceWhenFaultIsPosted() {
      createGroup();
      assertEquals(200, status(send("POST", "/faults/crash", "{\"target\":\"g-1\"}")));
      assertEquals(Optional.empty(), standin.group("g").primary());
      assertEquals(200, status(send("POST", "/faults/restart", "{\"target\":\"g-1\"}")));
      assertEquals(Optional.of("g-1"), standin.group("g").primary());
      assertEquals(Role.PRIMARY, standin.group("g").status("g-1").role());
    }

    @Test
    void shouldAnnounceLeavingWhenFaultIsPosted() {
      createGroup();
      send("POST", "/faults/target-leaving", "{\"target\":\"g-2\",\"leaving\":true}");
      assertTrue(standin.group("g").status("g-2").leaving());
    }

    @Test
    void shouldAnswerBadRequestWhenFaultIsUnknown() {
      assertEquals(400, status(send("POST", "/faults/nothing", "{}")));
      assertEquals(400, status(send("POST", "/faults/crash", "{\"target\":\"none\"}")));
    }
  }
}
