package io.lycheejunction.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.lycheejunction.core.result.Fault;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectionTest {
  private static final String KEY = "operator-key-0123456789";

  private static String outcome(String key, String caFile, String proxy) {
    return Connection.of(key, caFile, List.of("127.0.0.1:1", proxy))
        .fold(Fault::detail, connection -> String.join(" ", connection.headers()));
  }

  @Test
  void shouldSendKeyWhenProxiesAreOnLoopback() {
    assertEquals("Authorization Bearer " + KEY, outcome(KEY, "", "[::1]:7101"));
    assertEquals("", outcome("", "", "192.0.2.1:7101"));
  }

  @Test
  void shouldRefuseWithoutShowingKeyWhenItWouldBeReadable() {
    String detail = outcome(KEY, "", "192.0.2.1:7101");
    assertEquals("--tls-ca is missing;", detail.substring(0, 20));
    assertFalse(detail.contains(KEY));
    assertFalse(outcome(KEY, "/no/such/file", "192.0.2.1:7101").contains(KEY));
  }
}
