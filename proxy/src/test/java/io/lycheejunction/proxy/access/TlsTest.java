package io.lycheejunction.proxy.access;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.PemTrust;
import io.lycheejunction.proxy.caller.HttpServer;
import io.lycheejunction.proxy.caller.Readiness;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TlsTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final int MAX_CONNECT_ATTEMPTS = 5_000;

  @TempDir private Path directory;
  @TempDir private Path other;
  private HttpServer server;

  @AfterEach
  void stop() {
    server.stop();
  }

  private void start(TlsFiles files) {
    Map<String, Object> properties = new HashMap<>(TlsFiles.withPort(files.properties(), -1));
    properties.put("micronaut.server.host", "127.0.0.1");
    properties.put(TlsFiles.REFRESH_INTERVAL, "20ms");
    Readiness ready = Optional::empty;
    server = new HttpServer(properties, List.of(ready, AccessGate.off()));
    server.start();
  }

  private static PemTrust trust(TlsFiles files) {
    List<String> faults = new ArrayList<>();
    return files.check(faults).orElseThrow(() -> new AssertionError(faults));
  }

  private static BlockingHttpClient caller(PemTrust trust) {
    return BlockingHttpClient.tls(Optional.empty(), trust.context());
  }

  private boolean answers(BlockingHttpClient http) {
    String address = "127.0.0.1:" + server.port();
    return http.send("GET", address, "/health/live", "", List.of(), TIMEOUT_MS)
        .okBody()
        .isPresent();
  }

  private boolean canConnect(PemTrust trust) {
    try (BlockingHttpClient http = caller(trust)) {
      return answers(http);
    }
  }

  @Test
  void shouldAnswerOnlyOverTlsWithTrustedCertificateWhenFilesAreSet() {
    TlsFiles files = Certificates.of("one").write(directory);
    start(files);
    assertTrue(canConnect(trust(files)));
    assertFalse(canConnect(trust(Certificates.of("two").write(other))));
    try (BlockingHttpClient plain = BlockingHttpClient.plain(Optional.empty())) {
      assertFalse(answers(plain));
    }
  }

  @Test
  void shouldUseNewCertificateAndKeepConnectionsWhenFileIsReplaced() {
    TlsFiles parts = Certificates.of("one").write(directory);
    String both = directory.resolve("both.pem").toString();
    start(new TlsFiles(both, both, parts.ca()));
    PemTrust reloading = trust(parts);
    PemTrust otherAuthority = trust(Certificates.of("one").write(other));
    assertFalse(
        canConnect(otherAuthority),
        "another certificate authority of the same name is not trusted");
    try (BlockingHttpClient open = caller(reloading)) {
      assertTrue(answers(open));
      Certificates.of("two").write(directory);
      PemTrust newTrust = trust(parts);
      int attempts = 0;
      while (!canConnect(newTrust) && attempts < MAX_CONNECT_ATTEMPTS) {
        attempts++;
      }
      assertTrue(attempts < MAX_CONNECT_ATTEMPTS, "the server never presents the new certificate");
      assertTrue(answers(open), "a connection opened before the replacement keeps working");
      assertFalse(
          canConnect(reloading), "only the old certificate authority is trusted before the reload");
      reloading.reload();
      assertTrue(canConnect(reloading));
    }
  }
}
