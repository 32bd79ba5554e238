package io.lycheejunction.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.lycheejunction.core.result.Fault;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectionSettingsTest {
  private static final String KEY = "operator-key-0123456789";

  private static String headersOrFault(String key, String caFile, String proxy) {
    return ConnectionSettings.of(key, caFile, List.of("127.0.0.1:1", proxy))
        .fold(Fault::detail, connection -> String.join(" ", connection.headers()));
  }

  @Test
  void shouldSendKeyWithoutTlsWhenProxiesAreOnLoopback() {
    assertEquals("Authorization Bearer " + KEY, headersOrFault(KEY, "", "[::1]:7101"));
    assertEquals("", headersOrFault("", "", "192.0.2.1:7101"));
  }

  @Test
  void shouldRejectSettingsWithoutPrintingKeyWhenKeyWouldBeSentUnencrypted() {
    String detail = headersOrFault(KEY, "", "192.0.2.1:7101");
    assertEquals("--tls-ca is missing;", detail.substring(0, 20));
    assertFalse(detail.contains(KEY));
    assertFalse(headersOrFault(KEY, "/no/such/file", "192.0.2.1:7101").contains(KEY));
  }
}
