package io.lycheejunction.ctl;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.http.PemTrust;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** How proxies are reached; without {@code toString}, which could show the key. */
final class Connection {
  private final Optional<PemTrust> trust;
  private final String key;

  private Connection(Optional<PemTrust> trust, String key) {
    this.trust = trust;
    this.key = key;
  }

  /**
   * Returns the connection that the settings describe.
   *
   * @param key the operator's key, empty for none
   * @param caFile the PEM file of the trusted certificates, empty for no TLS
   * @param proxies the addresses as {@code ip:port}
   * @return the connection, or a fault if the file cannot be used or the key would be readable
   */
  static Result<Connection> of(String key, String caFile, List<String> proxies) {
    if (!caFile.isEmpty()) {
      return PemTrust.of(Path.of(caFile)).map(trust -> new Connection(Optional.of(trust), key));
    }
    return key.isEmpty() || proxies.stream().allMatch(Connection::isLoopback)
        ? Result.success(new Connection(Optional.empty(), key))
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
   * Returns a client.
   *
   * @return the client
   */
  HttpCaller http() {
    return trust
        .map(certificates -> HttpCaller.tls(Optional.empty(), certificates.context()))
        .orElseGet(() -> HttpCaller.plain(Optional.empty()));
  }

  /**
   * Returns the headers of every request.
   *
   * @return names and values in turn
   */
  List<String> headers() {
    return key.isEmpty() ? List.of() : List.of("Authorization", "Bearer " + key);
  }
}
