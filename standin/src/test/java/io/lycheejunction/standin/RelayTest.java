package io.lycheejunction.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.model.Links;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final long SHORT_MS = 50;

  private final RuntimeClock clock = new SystemRuntimeClock();
  private final Links links = new Links(1);
  private final Network network = new Network(List.of("ikeja", "lekki"), links, clock);
  private final AtomicInteger requestsServed = new AtomicInteger();
  private Endpoint process;
  private Relay relay;
  private BlockingHttpClient http;

  @BeforeEach
  void start() throws IOException {
    InetAddress ip = InetAddress.getLoopbackAddress();
    process = new Endpoint(new InetSocketAddress(ip, 0));
    process.start(
        (exchange, body) -> {
          requestsServed.incrementAndGet();
          return Optional.of(new Endpoint.Response(200, body));
        });
    String[] parts = process.address().split(":");
    InetSocketAddress processAddress = new InetSocketAddress(ip, Integer.parseInt(parts[1]));
    relay = new Relay(network, "ikeja", "lekki", ip, processAddress);
    http = BlockingHttpClient.plain(Optional.empty());
  }

  @AfterEach
  void stop() {
    http.close();
    relay.close();
    process.close();
  }

  private HttpReply send(long timeoutMs) {
    return http.send("POST", relay.address(), "/", "{\"a\":1}", List.of(), timeoutMs);
  }

  @Nested
  class Forward {
    @Test
    void shouldReturnResponseWhenLinkIsNotCut() {
      assertEquals(Optional.of("{\"a\":1}"), send(TIMEOUT_MS).okBody());
      assertEquals(Optional.of("{\"a\":1}"), send(TIMEOUT_MS).okBody());
    }

    @Test
    void shouldStallWhenLinkIsCut() {
      send(TIMEOUT_MS);
      links.cut("ikeja", "lekki");
      assertInstanceOf(HttpReply.Lost.class, send(SHORT_MS));
      assertEquals(1, requestsServed.get());
      links.heal("ikeja", "lekki");
      assertEquals(Optional.of("{\"a\":1}"), send(TIMEOUT_MS).okBody());
    }

    @Test
    void shouldRefuseConnectionsWhenProcessIsDown() throws InterruptedException {
      process.close();
      HttpReply reply = send(TIMEOUT_MS);
      while (!(reply instanceof HttpReply.NotSent)) {
        reply = send(TIMEOUT_MS);
      }
      assertEquals(new HttpReply.NotSent(true, "connection refused"), reply);
      process.reopen();
      while (reply.okBody().isEmpty()) {
        reply = send(TIMEOUT_MS);
      }
      assertEquals(1, requestsServed.get());
    }
  }
}
