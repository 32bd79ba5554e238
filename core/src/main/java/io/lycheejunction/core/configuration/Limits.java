package io.lycheejunction.core.configuration;

import com.google.common.net.InetAddresses;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates names, addresses and numbers in a configuration. */
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
   * Returns why a name is invalid.
   *
   * @param kind the kind of object that has the name
   * @param name the name
   * @return a one-line description, or empty if the name is valid
   */
  static Optional<String> nameViolation(String kind, String name) {
    return NAME.matcher(name).matches()
        ? Optional.empty()
        : Optional.of(
            kind
                + " name '"
                + name
                + "' must be 1 to 63 characters of a-z, 0-9 and '-', starting with a-z");
  }

  /**
   * Returns why a number is invalid.
   *
   * @param field the name of the field
   * @param value the number
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @return a one-line description, or empty if the number is in the range
   */
  static Optional<String> rangeViolation(String field, long value, long min, long max) {
    return value < min || value > max
        ? Optional.of(field + " is " + value + "; allowed: " + min + " to " + max)
        : Optional.empty();
  }

  /**
   * Returns why an address is invalid.
   *
   * @param address the address
   * @return a one-line description, or empty if it is an IP address with a port
   */
  static Optional<String> addressViolation(String address) {
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
    return Optional.of("address '" + address + "' is not an IP address with a port, as in ip:port");
  }

  private static boolean isPort(String text) {
    if (!text.matches("\\d{1,5}")) {
      return false;
    }
    int port = Integer.parseInt(text);
    return port > 0 && port <= MAX_PORT;
  }
}
