package io.lycheejunction.proxy.access;

import io.lycheejunction.common.http.PemTrust;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The PEM files of the proxy's TLS configuration.
 *
 * @param cert the file of the proxy's certificate with its chain
 * @param key the file of the private key; it may be the same file
 * @param ca the file of the certificate authorities that are trusted to sign other proxies'
 *     certificates
 */
record TlsFiles(String cert, String key, String ca) {
  /** The Micronaut property of the interval at which the server reloads the files. */
  static final String REFRESH_INTERVAL = "micronaut.certificate.file.proxy.refresh-interval";

  private static final String DEFAULT_REFRESH_INTERVAL = "10s";

  /** Rejects null components. */
  TlsFiles {
    Objects.requireNonNull(cert, "cert is null");
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(ca, "ca is null");
  }

  /**
   * Checks that the files can be used and returns the trusted certificates.
   *
   * @param faults receives one line for each file that cannot be used
   * @return the certificates, if their file can be used
   */
  Optional<PemTrust> check(List<String> faults) {
    if (!Files.isReadable(Path.of(key))) {
      faults.add("--" + AccessSettings.TLS_KEY + " names a file that cannot be read: " + key);
    }
    read(AccessSettings.TLS_CERT, cert, faults);
    return read(AccessSettings.TLS_CA, ca, faults);
  }

  private static Optional<PemTrust> read(String flag, String file, List<String> faults) {
    return PemTrust.of(Path.of(file))
        .fold(
            fault -> {
              faults.add("--" + flag + ": " + fault.detail());
              return Optional.empty();
            },
            Optional::of);
  }

  /**
   * Returns the Micronaut properties of the server's TLS, without the port.
   *
   * @return the properties
   */
  Map<String, Object> properties() {
    Map<String, Object> properties = new HashMap<>();
    properties.put("micronaut.server.ssl.enabled", true);
    properties.put("micronaut.server.ssl.key-name", "proxy");
    properties.put("micronaut.certificate.file.proxy.format", "PEM");
    properties.put("micronaut.certificate.file.proxy.path", key);
    if (!key.equals(cert)) {
      properties.put("micronaut.certificate.file.proxy.certificate-path", cert);
    }
    properties.put("micronaut.certificate.file.proxy.refresh-mode", "SCHEDULER");
    properties.put(REFRESH_INTERVAL, DEFAULT_REFRESH_INTERVAL);
    return properties;
  }

  /**
   * Returns the properties with the port added, as the TLS port unless they are empty.
   *
   * @param properties the properties, empty without TLS
   * @param port the port to listen on
   * @return the properties
   */
  static Map<String, Object> withPort(Map<String, Object> properties, int port) {
    Map<String, Object> all = new HashMap<>(properties);
    all.put(properties.isEmpty() ? "micronaut.server.port" : "micronaut.server.ssl.port", port);
    return all;
  }
}
