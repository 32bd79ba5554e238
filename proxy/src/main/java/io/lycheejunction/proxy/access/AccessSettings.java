package io.lycheejunction.proxy.access;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.PemTrust;
import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The settings of keys and certificates; defines no {@code toString}, which could print a key. */
public final class AccessSettings {
  /** The flag that turns off keys and TLS. */
  public static final String INSECURE_LOOPBACK = "insecure-loopback";

  static final String PEER_KEY = "peer-key";
  static final String OPERATOR_READ_KEY = "operator-read-key";
  static final String OPERATOR_CHANGE_KEY = "operator-change-key";
  static final String CALLER_KEYS = "caller-keys";
  static final String TLS_CERT = "tls-cert";
  static final String TLS_KEY = "tls-key";
  static final String TLS_CA = "tls-ca";
  private static final List<String> KEY_AND_TLS_FLAGS =
      List.of(
          PEER_KEY, OPERATOR_READ_KEY, OPERATOR_CHANGE_KEY, CALLER_KEYS, TLS_CERT, TLS_KEY, TLS_CA);

  /** The definitions of these settings. */
  public static final List<Setting> ALL =
      List.of(
          Setting.toggle(
              INSECURE_LOOPBACK, "asks for no keys and uses no TLS; loopback addresses only"),
          Setting.secret(
              PEER_KEY, "keys between proxies, with commas; the first is sent, all are accepted"),
          Setting.secret(OPERATOR_READ_KEY, "keys of operators who may look, separated by commas"),
          Setting.secret(
              OPERATOR_CHANGE_KEY, "keys of operators who may change, separated by commas"),
          Setting.secret(
              CALLER_KEYS, "service=key pairs of callers, with commas; * for every service"),
          Setting.text(TLS_CERT, "", "PEM file of the proxy's certificate with its chain"),
          Setting.text(TLS_KEY, "", "PEM file of the certificate's private key"),
          Setting.text(
              TLS_CA, "", "PEM file of the certificates that other proxies are signed by"));

  private final AccessGate gate;
  private final Optional<String> peerKey;
  private final Optional<PemTrust> trust;
  private final Map<String, Object> tlsProperties;

  private AccessSettings(
      AccessGate gate,
      Optional<String> peerKey,
      Optional<PemTrust> trust,
      Map<String, Object> tlsProperties) {
    this.gate = gate;
    this.peerKey = peerKey;
    this.trust = trust;
    this.tlsProperties = Map.copyOf(tlsProperties);
  }

  /**
   * Returns the settings without keys and certificates.
   *
   * @param ip the address that the proxy listens on
   * @return the settings, or a fault if the address is not a loopback address
   */
  public static Result<AccessSettings> insecure(InetAddress ip) {
    return ip.isLoopbackAddress()
        ? Result.success(
            new AccessSettings(AccessGate.off(), Optional.empty(), Optional.empty(), Map.of()))
        : Result.failure(
            ResultCode.BAD_SETTING,
            "--insecure-loopback needs a loopback address in --listen, not " + ip.getHostAddress());
  }

  /**
   * Returns the settings, taken from the parsed flags and environment variables.
   *
   * @param settings the parsed and checked settings
   * @param ip the address that the proxy listens on
   * @return the settings, or a fault whose detail has one line for each problem
   */
  public static Result<AccessSettings> of(Settings settings, InetAddress ip) {
    if (!settings.isOn(INSECURE_LOOPBACK)) {
      return secure(settings);
    }
    List<String> faults = new ArrayList<>();
    for (String flag : KEY_AND_TLS_FLAGS) {
      if (!settings.text(flag).isEmpty()) {
        faults.add(name(flag) + " cannot be combined with --" + INSECURE_LOOPBACK);
      }
    }
    return faults.isEmpty() ? insecure(ip) : badSettings(faults);
  }

  private static Result<AccessSettings> secure(Settings settings) {
    List<String> faults = new ArrayList<>();
    for (String flag : KEY_AND_TLS_FLAGS) {
      if (settings.text(flag).isEmpty()) {
        faults.add(
            name(flag) + " is missing; it is optional only if --" + INSECURE_LOOPBACK + " is set");
      }
    }
    if (!faults.isEmpty()) {
      return badSettings(faults);
    }
    Keys keys = Keys.read(settings, faults);
    TlsFiles files =
        new TlsFiles(settings.text(TLS_CERT), settings.text(TLS_KEY), settings.text(TLS_CA));
    Optional<PemTrust> trust = files.check(faults);
    return faults.isEmpty()
        ? Result.success(
            new AccessSettings(
                AccessGate.of(keys.accessKeys()),
                Optional.of(keys.peerKey()),
                trust,
                files.properties()))
        : badSettings(faults);
  }

  private static Result<AccessSettings> badSettings(List<String> faults) {
    return Result.failure(ResultCode.BAD_SETTING, String.join("\n", faults));
  }

  /**
   * Returns the name of a setting for error messages.
   *
   * @param flag the setting's flag without dashes
   * @return the environment variable of a secret, the flag with dashes of any other setting
   */
  static String name(String flag) {
    return ALL.stream()
        .filter(setting -> setting.flag().equals(flag) && setting.secret())
        .map(Setting::variable)
        .findFirst()
        .orElse("--" + flag);
  }

  /**
   * Returns the gate that checks the credentials of requests.
   *
   * @return the gate
   */
  public AccessGate gate() {
    return gate;
  }

  /**
   * Returns the certificate authorities that sign the certificates of other proxies.
   *
   * @return the trusted certificates, empty without TLS
   */
  public Optional<PemTrust> trust() {
    return trust;
  }

  /**
   * Returns the client for messages to other proxies.
   *
   * @param local the local address to connect from
   * @return the client
   */
  public BlockingHttpClient peerHttp(InetAddress local) {
    return trust
        .map(certificates -> BlockingHttpClient.tls(Optional.of(local), certificates.context()))
        .orElseGet(() -> BlockingHttpClient.plain(Optional.of(local)));
  }

  /**
   * Returns the headers that identify this proxy to others.
   *
   * @return header names and values, alternating
   */
  public List<String> peerHeaders() {
    return peerKey.map(key -> List.of("Authorization", "Bearer " + key)).orElse(List.of());
  }

  /**
   * Returns the Micronaut properties of the server's port and TLS.
   *
   * @param port the port that the proxy listens on
   * @return the properties by name
   */
  public Map<String, Object> serverProperties(int port) {
    return TlsFiles.withPort(tlsProperties, port);
  }
}
