package io.lycheejunction.gateway.target;

import java.util.Objects;

/**
 * A network address to connect to.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Rejects a null or empty host and a port out of range. */
  public Endpoint {
    Objects.requireNonNull(host, "host is null");
    if (host.isEmpty() || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "endpoint must have a host and a port from 1 to 65535: " + host + ":" + port);
    }
  }

  /**
   * Returns the endpoint given as text.
   *
   * @param text the endpoint in the form {@code HOST:PORT}
   * @return the endpoint
   * @throws IllegalArgumentException if the text has no host or no valid port
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("endpoint must be HOST:PORT, but has no port: " + text);
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
