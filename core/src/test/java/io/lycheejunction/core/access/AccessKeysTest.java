package io.lycheejunction.core.access;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AccessKeysTest {
  private static final AccessKeys ACCESS_KEYS =
      AccessKeys.of(
          List.of(
              Grant.of(new Scope.Caller("orders"), "orders"),
              Grant.of(new Scope.Caller("*"), "all"),
              Grant.of(new Scope.OperatorRead(), "read"),
              Grant.of(new Scope.OperatorRead(), "read-2"),
              Grant.of(new Scope.OperatorChange(), "change"),
              Grant.of(new Scope.Peer(), "peer")));

  private static RequiredAccess need(String name) {
    return switch (name) {
      case "operator-change" -> new RequiredAccess.OperatorChange();
      default -> RequiredAccess.ofPath(name);
    };
  }

  private static String refusal(String authorization, RequiredAccess required) {
    return ACCESS_KEYS
        .refusal(Optional.ofNullable(authorization), required)
        .map(Fault::code)
        .map(ResultCode::name)
        .orElse("ALLOWED");
  }

  @Nested
  class Refusal {
    @ParameterizedTest
    @CsvSource({
      "/v1/services/orders/statements, orders all",
      "/v1/services/billing/outcomes/k, all",
      "/v1/operator, read read-2 change",
      "/metrics, read read-2 change",
      "operator-change, change",
      "/peer/heartbeat, peer",
      "/v1/services/%6frders/statements, ''",
      "/v1/services/orders/other, ''",
      "/v1/operator/, ''",
      "/beans, ''",
      "'', ''"
    })
    void shouldAllowOnlyListedKeysWhenCredentialIsNeeded(String required, String allowed) {
      for (String key : List.of("orders", "all", "read", "read-2", "change", "peer")) {
        boolean expected = List.of(allowed.split(" ")).contains(key);
        assertEquals(
            expected ? "ALLOWED" : "NOT_ALLOWED", refusal("Bearer " + key, need(required)), key);
      }
      assertEquals("NO_CREDENTIAL", refusal(null, need(required)));
      for (String wrong : List.of("", "Bearer ", "Bearer orders2", "Basic orders", "orders")) {
        assertEquals("WRONG_CREDENTIAL", refusal(wrong, need(required)), wrong);
      }
    }

    @Test
    void shouldAllowEverybodyWhenPathIsOpen() {
      assertEquals("ALLOWED", refusal(null, RequiredAccess.ofPath("/health/ready")));
      assertEquals("ALLOWED", refusal("Bearer x", RequiredAccess.ofPath("/health/live")));
    }
  }
}
