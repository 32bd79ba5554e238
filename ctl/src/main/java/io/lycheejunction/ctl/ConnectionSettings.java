package io.lycheejunction.ctl;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.PemTrust;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The credential and the trusted certificates for requests to proxies.
 *
 * <p>This is not a record, whose {@code toString} would contain the key.
 */
final class ConnectionSettings {
  private final Optional<PemTrust> trust;
  private final String key;

  private ConnectionSettings(Optional<PemTrust> trust, String key) {
    this.trust = trust;
    this.key = key;
  }

  /**
   * Returns the validated connection settings.
   *
   * @param key the operator's key; empty for none
   * @param caFile the PEM file of the trusted certificates; empty for connections without TLS
   * @param proxies the addresses as {@code ip:port}
   * @return the settings, or {@code BAD_SETTING} if the file cannot be used or if a key would be
   *     sent unencrypted to an address that is not a loopback address
   */
  static Result<ConnectionSettings> of(String key, String caFile, List<String> proxies) {
    if (!caFile.isEmpty()) {
      return PemTrust.of(Path.of(caFile))
          .map(trust -> new ConnectionSettings(Optional.of(trust), key));
    }
    return key.isEmpty() || proxies.stream().allMatch(ConnectionSettings::isLoopback)
        ? Result.success(new ConnectionSettings(Optional.empty(), key))
        : Result.failure(
            ResultCode.BAD_SETTING,
            "--tls-ca is missing; a key is sent without TLS to loopback addresses only");
  }

  private static boolean isLoopback(String proxy) {
    try {
      String ip = proxy.substring(0, proxy.lastIndexOf(':'));
      return InetAddress.getByName(ip).isLoopbackAddress();
    } catch (UnknownHostException e) {
      return false;
    }
  }

  /**
   * Returns a new HTTP client, which the calling code closes.
   *
   * @return the client, with TLS if a file of trusted certificates is given
   */
  BlockingHttpClient newHttpClient() {
    return trust
        .map(certificates -> BlockingHttpClient.tls(Optional.empty(), certificates.context()))
        .orElseGet(() -> BlockingHttpClient.plain(Optional.empty()));
  }

  /**
   * Returns the headers of every request.
   *
   * @return alternating header names and values
   */
  List<String> headers() {
    return key.isEmpty() ? List.of() : List.of("Authorization", "Bearer " + key);
  }
}
