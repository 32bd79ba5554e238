package io.lycheejunction.core.configuration;

import com.google.common.net.InetAddresses;
import java.util.Optional;
import java.util.regex.Pattern;

/** The ranges of names, addresses and numbers in a configuration. */
final class Limits {
  static final int MAX_TARGETS = 9;
  static final int MAX_SLOTS = 1_000;
  static final int MAX_CONNECTIONS = 10_000;
  static final int MAX_WEIGHT = 100;
  static final long MAX_AGE_LIMIT_MS = 24L * 60 * 60 * 1_000;
  private static final int MAX_PORT = 65_535;
  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");

  private Limits() {}

  /**
   * Returns what is wrong with a name.
   *
   * @param what what the name is for
   * @param name the name
   * @return one line, or empty if the name is allowed
   */
  static Optional<String> name(String what, String name) {
    return NAME.matcher(name).matches()
        ? Optional.empty()
        : Optional.of(
            what + " name '" + name + "' is not 1 to 63 of a-z, 0-9 and '-', beginning with a-z");
  }

  /**
   * Returns what is wrong with a number.
   *
   * @param what what the number is
   * @param value the number
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @return one line, or empty if the number is allowed
   */
  static Optional<String> range(String what, long value, long min, long max) {
    return value < min || value > max
        ? Optional.of(what + " is " + value + "; allowed: " + min + " to " + max)
        : Optional.empty();
  }

  /**
   * Returns what is wrong with an address.
   *
   * @param address the address
   * @return one line, or empty if it is an IP number and a port
   */
  static Optional<String> address(String address) {
    int colon = address.lastIndexOf(':');
    if (colon > 0 && isPort(address.substring(colon + 1))) {
      String host = address.substring(0, colon);
      if (host.startsWith("[") && InetAddresses.isUriInetAddress(host)) {
        return Optional.empty();
      }
      if (host.indexOf(':') < 0 && InetAddresses.isInetAddress(host)) {
        return Optional.empty();
      }
    }
    return Optional.of("address '" + address + "' is not an IP number and a port");
  }

  private static boolean isPort(String text) {
    if (!text.matches("\\d{1,5}")) {
      return false;
    }
    int port = Integer.parseInt(text);
    return port > 0 && port <= MAX_PORT;
  }
}
