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

class KeyringTest {
  private static final Keyring KEYRING =
      Keyring.of(
          List.of(
              Grant.of(new Scope.Caller("orders"), "orders"),
              Grant.of(new Scope.Caller("*"), "all"),
              Grant.of(new Scope.OperatorRead(), "read"),
              Grant.of(new Scope.OperatorRead(), "read-2"),
              Grant.of(new Scope.OperatorChange(), "change"),
              Grant.of(new Scope.Peer(), "peer")));

  private static Need need(String name) {
    return switch (name) {
      case "operator-change" -> new Need.OperatorChange();
      default -> Need.ofPath(name);
    };
  }

  private static String refusal(String authorization, Need need) {
    return KEYRING
        .refusal(Optional.ofNullable(authorization), need)
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
    void shouldAllowOnlyListedKeysWhenCredentialIsNeeded(String need, String allowed) {
      for (String key : List.of("orders", "all", "read", "read-2", "change", "peer")) {
        boolean expected = List.of(allowed.split(" ")).contains(key);
        assertEquals(
            expected ? "ALLOWED" : "NOT_ALLOWED", refusal("Bearer " + key, need(need)), key);
      }
      assertEquals("NO_CREDENTIAL", refusal(null, need(need)));
      for (String wrong : List.of("", "Bearer ", "Bearer orders2", "Basic orders", "orders")) {
        assertEquals("WRONG_CREDENTIAL", refusal(wrong, need(need)), wrong);
      }
    }

    @Test
    void shouldAllowEverybodyWhenPathIsOpen() {
      assertEquals("ALLOWED", refusal(null, Need.ofPath("/health/ready")));
      assertEquals("ALLOWED", refusal("Bearer x", Need.ofPath("/health/live")));
    }
  }
}
