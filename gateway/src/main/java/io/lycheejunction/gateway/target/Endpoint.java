package io.lycheejunction.gateway.target;

import java.util.Objects;

/**
 * An address to connect to.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Rejects a null host and a port out of range. */
  public Endpoint {
    Objects.requireNonNull(host, "host is null");
    if (host.isEmpty() || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("not an address: " + host + ":" + port);
    }
  }

  /**
   * Returns the endpoint that a text stands for.
   *
   * @param text the host, a colon and the port
   * @return the endpoint
   * @throws IllegalArgumentException if the text is no address
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("no port in " + text);
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
