package io.lycheejunction.proxy.access;

import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.access.AccessKeys;
import io.lycheejunction.core.access.Grant;
import io.lycheejunction.core.access.Scope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The keys in the settings; defines no {@code toString}, which could print a key. */
final class Keys {
  private static final int MIN_KEY_CHARS = 16;

  private record ConfiguredKey(String flag, Grant grant) {}

  private final List<ConfiguredKey> configuredKeys = new ArrayList<>();
  private final List<String> faults;
  private String peerKey = "";

  private Keys(List<String> faults) {
    this.faults = faults;
  }

  /**
   * Reads and checks the keys.
   *
   * @param settings the parsed and checked settings
   * @param faults receives one line for each problem, which contains no key
   * @return the keys
   */
  static Keys read(Settings settings, List<String> faults) {
    Keys keys = new Keys(faults);
    List<String> peers = split(settings, AccessSettings.PEER_KEY);
    peers.forEach(key -> keys.add(AccessSettings.PEER_KEY, new Scope.Peer(), key));
    keys.peerKey = peers.getFirst();
    split(settings, AccessSettings.OPERATOR_READ_KEY)
        .forEach(key -> keys.add(AccessSettings.OPERATOR_READ_KEY, new Scope.OperatorRead(), key));
    split(settings, AccessSettings.OPERATOR_CHANGE_KEY)
        .forEach(
            key -> keys.add(AccessSettings.OPERATOR_CHANGE_KEY, new Scope.OperatorChange(), key));
    split(settings, AccessSettings.CALLER_KEYS).forEach(keys::addCaller);
    return keys;
  }

  private static List<String> split(Settings settings, String flag) {
    return Arrays.stream(settings.text(flag).split(",", -1)).map(String::strip).toList();
  }

  private void addCaller(String pair) {
    int equals = pair.indexOf('=');
    String service = equals < 0 ? "" : pair.substring(0, equals);
    if (!service.equals(Scope.ALL_SERVICES) && !service.matches("[a-z0-9-]+")) {
      faults.add(
          AccessSettings.name(AccessSettings.CALLER_KEYS)
              + " has an entry without a valid service name; allowed: service=key or *=key");
      return;
    }
    add(AccessSettings.CALLER_KEYS, new Scope.Caller(service), pair.substring(equals + 1));
  }

  private void add(String flag, Scope scope, String key) {
    if (key.length() < MIN_KEY_CHARS || !key.matches("[\\x21-\\x7e]+")) {
      faults.add(
          AccessSettings.name(flag)
              + " has a key that is too short or has invalid characters; allowed: "
              + MIN_KEY_CHARS
              + " or more visible ASCII characters");
      return;
    }
    Grant grant = Grant.of(scope, key);
    Optional<ConfiguredKey> other =
        configuredKeys.stream()
            .filter(
                configured ->
                    configured.grant().hasSameKeyAs(grant)
                        && !configured.grant().scope().equals(scope))
            .findFirst();
    if (other.isPresent()) {
      faults.add(
          AccessSettings.name(flag)
              + " has a key that is also in "
              + AccessSettings.name(other.get().flag())
              + "; allowed: a different key for each permission");
      return;
    }
    configuredKeys.add(new ConfiguredKey(flag, grant));
  }

  /**
   * Returns the accepted keys.
   *
   * @return the access keys
   */
  AccessKeys accessKeys() {
    return AccessKeys.of(configuredKeys.stream().map(ConfiguredKey::grant).toList());
  }

  /**
   * Returns the key that this proxy sends to other proxies.
   *
   * @return the key
   */
  String peerKey() {
    return peerKey;
  }
}
