package io.lycheejunction.proxy.access;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.access.RequiredAccess;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AccessSettingsTest {
  private static final String PREFIX = "LYCHEEJUNCTION_";

  @TempDir private Path directory;
  private final Map<String, String> environment = new HashMap<>();

  @BeforeEach
  void fillEnvironment() {
    TlsFiles files = Certificates.of("one").write(directory);
    environment.put("PEER_KEY", "peer-new-01234567,peer-old-01234567");
    environment.put("OPERATOR_READ_KEY", "read-new-01234567,read-old-01234567");
    environment.put("OPERATOR_CHANGE_KEY", "change-0123456789");
    environment.put("CALLER_KEYS", "orders=orders-0123456789,*=every-0123456789");
    environment.put("TLS_CERT", files.cert());
    environment.put("TLS_KEY", files.key());
    environment.put("TLS_CA", files.ca());
  }

  private Result<AccessSettings> read(String ip, String... args) {
    Map<String, String> variables = new HashMap<>();
    environment.forEach((name, value) -> variables.put(PREFIX + name, value));
    Settings.Parsed parsed = Settings.parse(AccessSettings.ALL, args, variables);
    Settings settings = assertInstanceOf(Settings.Parsed.Valid.class, parsed).settings();
    try {
      return AccessSettings.of(settings, InetAddress.getByName(ip));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private String faults(String ip, String... args) {
    return read(ip, args).fold(Fault::detail, settings -> "");
  }

  private static Optional<ResultCode> refusal(
      AccessSettings settings, String key, RequiredAccess required) {
    return settings.gate().refusal(Optional.of("Bearer " + key), required).map(Fault::code);
  }

  @Test
  void shouldAcceptEveryKeyWhenSettingHasSeveral() {
    AccessSettings settings =
        read("192.0.2.1")
            .fold(
                fault -> {
                  throw new AssertionError(fault.detail());
                },
                accepted -> accepted);
    for (String key : List.of("peer-new-01234567", "peer-old-01234567")) {
      assertEquals(Optional.empty(), refusal(settings, key, new RequiredAccess.Peer()));
    }
    for (String key : List.of("read-new-01234567", "read-old-01234567", "change-0123456789")) {
      assertEquals(Optional.empty(), refusal(settings, key, new RequiredAccess.OperatorRead()));
    }
    assertEquals(
        Optional.of(ResultCode.NOT_ALLOWED),
        refusal(settings, "orders-0123456789", new RequiredAccess.Caller("billing")));
    assertEquals(
        Optional.empty(),
        refusal(settings, "every-0123456789", new RequiredAccess.Caller("billing")));
    assertEquals(List.of("Authorization", "Bearer peer-new-01234567"), settings.peerHeaders());
    assertEquals(9443, settings.serverProperties(9443).get("micronaut.server.ssl.port"));
    assertFalse(settings.toString().contains("0123"));
  }

  @ParameterizedTest
  @CsvSource({
    "PEER_KEY, ''",
    "OPERATOR_READ_KEY, ''",
    "OPERATOR_CHANGE_KEY, ''",
    "CALLER_KEYS, ''",
    "TLS_CERT, ''",
    "TLS_KEY, ''",
    "TLS_CA, ''",
    "TLS_CERT, /no/such/file",
    "TLS_KEY, /no/such/file",
    "TLS_CA, /no/such/file",
    "PEER_KEY, secret-short",
    "PEER_KEY, 'secret with spaces in it'",
    "PEER_KEY, change-0123456789",
    "PEER_KEY, 'peer-new-01234567,'",
    "CALLER_KEYS, secret-0123456789",
    "CALLER_KEYS, '=secret-0123456789'",
    "CALLER_KEYS, 'a=secret-0123456789,b=secret-0123456789'"
  })
  void shouldNameSettingButNotItsKeyWhenValueIsInvalid(String variable, String value) {
    environment.put(variable, value);
    String faults = faults("127.0.0.1");
    String flag = "--" + variable.toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    assertTrue(faults.contains(PREFIX + variable) || faults.contains(flag), faults);
    for (String secret : List.of("secret", "0123456789", "01234567")) {
      assertFalse(faults.contains(secret), faults);
    }
  }

  @Test
  void shouldRequireNoKeysOnlyWhenInsecureLoopbackIsSetOnLoopbackAddress() {
    assertTrue(faults("127.0.0.1", "--insecure-loopback").contains("LYCHEEJUNCTION_PEER_KEY"));
    environment.clear();
    assertEquals("", faults("127.0.3.1", "--insecure-loopback"));
    assertTrue(faults("127.0.0.1").contains("LYCHEEJUNCTION_PEER_KEY is missing"));
    for (String ip : List.of("0.0.0.0", "192.0.2.1", "::")) {
      assertTrue(faults(ip, "--insecure-loopback").contains("needs a loopback address"), ip);
    }
  }
}
