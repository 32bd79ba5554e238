package io.lycheejunction.common.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.settings.Settings.Parsed;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsTest {
  private static final List<Setting> KNOWN =
      List.of(
          Setting.number("queue-size", 1, 100, 10, "capacity of the queue"),
          Setting.address("listen", "ip:port"),
          Setting.secret("peer-key", "the key"));

  private static Settings ready(Map<String, String> environment, String... args) {
    return assertInstanceOf(Parsed.Valid.class, Settings.parse(KNOWN, args, environment))
        .settings();
  }

  private static List<String> faults(Map<String, String> environment, String... args) {
    return assertInstanceOf(Parsed.Invalid.class, Settings.parse(KNOWN, args, environment))
        .faults();
  }

  @Nested
  class Parse {
    @Test
    void shouldTakeFlagBeforeVariableWhenBothAreGiven() {
      Map<String, String> environment =
          Map.of("LYCHEEJUNCTION_QUEUE_SIZE", "20", "LYCHEEJUNCTION_LISTEN", "127.0.0.1:1");
      assertEquals(30, ready(environment, "--queue-size", "30").number("queue-size"));
    }

    @Test
    void shouldTakeVariableBeforeDefaultWhenNoFlagIsGiven() {
      Map<String, String> environment =
          Map.of("LYCHEEJUNCTION_QUEUE_SIZE", "20", "LYCHEEJUNCTION_LISTEN", "127.0.0.1:1");
      assertEquals(20, ready(environment).number("queue-size"));
    }

    @Test
    void shouldListEveryFaultWhenSeveralSettingsAreInvalid() {
      List<String> faults = faults(Map.of(), "--queue-size", "101");
      assertEquals(
          List.of(
              "--queue-size (LYCHEEJUNCTION_QUEUE_SIZE) has value '101'; allowed: 1 to 100",
              "--listen (LYCHEEJUNCTION_LISTEN) is missing; allowed: ip:port"),
          faults);
    }

    @Test
    void shouldRejectSecretWithoutPrintingItWhenGivenAsFlag() {
      List<String> faults = faults(Map.of(), "--peer-key", "hidden", "--listen", "127.0.0.1:1");
      assertEquals(1, faults.size());
      assertFalse(faults.getFirst().contains("hidden"));
    }

    @Test
    void shouldReadSecretWhenItsVariableIsSet() {
      Settings settings =
          ready(Map.of("LYCHEEJUNCTION_PEER_KEY", "hidden"), "--listen", "127.0.0.1:1");
      assertEquals("hidden", settings.text("peer-key"));
    }

    @Test
    void shouldReturnPositionalArgumentsWhenTheyFollowFlags() {
      assertEquals(
          List.of("show config"),
          ready(Map.of(), "--listen", "127.0.0.1:1", "show config").arguments());
    }

    @Test
    void shouldReturnHelpWhenRequiredSettingsAreMissing() {
      Parsed parsed = Settings.parse(KNOWN, new String[] {"--help"}, Map.of());
      assertTrue(parsed instanceof Parsed.Help);
    }
  }
}
