package io.lycheejunction.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.platform.HttpObjectStore;
import io.lycheejunction.common.platform.HttpPlatformTable;
import io.lycheejunction.common.platform.HttpVmDirectory;
import io.lycheejunction.common.platform.PlatformMessageClient;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.port.PlatformTable.PutOutcome;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.Standin;
import io.lycheejunction.standin.StandinSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpPlatformTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final long SHORT_TIMEOUT_MS = 50;

  private Standin standin;
  private BlockingHttpClient http;
  private PlatformMessageClient calls;

  @BeforeEach
  void start() throws IOException {
    StandinSettings settings =
        new StandinSettings("127.0.0.1", 0, 0, List.of("ikeja", "lekki"), 0, List.of());
    standin = new Standin(settings, new SystemRuntimeClock());
    http = BlockingHttpClient.plain(Optional.of(InetAddress.getByName("127.0.1.1")));
    calls = new PlatformMessageClient(http, standin.address(), TIMEOUT_MS);
  }

  @AfterEach
  void stop() {
    http.close();
    standin.close();
  }

  private static ResultCode code(Result<?> result) {
    return result.fold(Fault::code, value -> null);
  }

  private String post(String path, Object body) {
    return http.send("POST", standin.address(), path, Json.write(body), List.of(), TIMEOUT_MS)
        .okBody()
        .orElse("");
  }

  @Nested
  class Table {
    @Test
    void shouldWriteOnlyWhenKeyIsAbsent() {
      HttpPlatformTable table = new HttpPlatformTable(calls);
      assertEquals(
          Result.success(new PutOutcome.Written()), table.putIfAbsent("t", new Row("1", "x")));
      assertEquals(
          Result.success(new PutOutcome.Exists("x")), table.putIfAbsent("t", new Row("1", "y")));
      assertEquals(Result.success(List.of(new Row("1", "x"))), table.scan("t", "", 10));
      assertEquals(Result.success(Optional.empty()), table.get("t", "2"));
    }

    @Test
    void shouldReturnStoreUnavailableWhenTableIsDown() {
      HttpPlatformTable table = new HttpPlatformTable(calls);
      standin.injectFault(new FaultMessage.TableDown(true));
      assertEquals(ResultCode.STORE_UNAVAILABLE, code(table.putIfAbsent("t", new Row("1", "x"))));
    }

    @Test
    void shouldReturnStoreUnknownWhenReplyIsLost() {
      HttpPlatformTable table = new HttpPlatformTable(calls);
      HttpPlatformTable shortTimeoutTable =
          new HttpPlatformTable(
              new PlatformMessageClient(http, standin.address(), SHORT_TIMEOUT_MS));
      table.get("t", "1");
      standin.injectFault(new FaultMessage.LoseReplies(1));
      assertEquals(
          ResultCode.STORE_UNKNOWN, code(shortTimeoutTable.putIfAbsent("t", new Row("1", "x"))));
    }
  }

  @Nested
  class Objects {
    @Test
    void shouldListNamesWhenPrefixMatches() {
      HttpObjectStore store = new HttpObjectStore(calls);
      store.put("a/1", "x");
      store.put("b/1", "y");
      assertEquals(Result.success(List.of("a/1")), store.list("a/"));
      assertEquals(Result.success(Optional.of("x")), store.get("a/1"));
      assertEquals(Result.success(Optional.empty()), store.get("a/2"));
    }
  }

  @Nested
  class Vms {
    private final Vm near = new Vm("p1", Vm.Kind.ENTRY, "ikeja", "127.0.1.1:1", false);

    @Test
    void shouldListRealAddressWhenVmIsInSameDomain() {
      post("/vms", near);
      assertEquals(Result.success(List.of(near)), new HttpVmDirectory(calls).list());
    }

    @Test
    void shouldListRelayAddressWhenVmIsInAnotherDomain() {
      Vm far = new Vm("p2", Vm.Kind.ENTRY, "lekki", standin.address(), false);
      post("/vms", far);
      Vm seen = new HttpVmDirectory(calls).list().getOrElse(List.of()).getFirst();
      assertNotEquals(far.address(), seen.address());
      assertTrue(
          http.send("GET", seen.address(), "/groups", "", List.of(), TIMEOUT_MS)
              .okBody()
              .isPresent());
    }

    @Test
    void shouldMarkVmAsLeavingWhenPlatformSaysSo() {
      post("/vms", near);
      post("/faults/vm-leaving", new FaultMessage.VmLeaving("p1", true));
      assertTrue(new HttpVmDirectory(calls).list().getOrElse(List.of()).getFirst().leaving());
    }
  }
}
