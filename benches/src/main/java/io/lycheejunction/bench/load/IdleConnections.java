package io.lycheejunction.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP keep-alive connections to a proxy that stay idle after their first request. */
public final class IdleConnections implements AutoCloseable {
  private static final int RESPONSE_BUFFER_BYTES = 4_096;

  private final List<SocketChannel> channels = new ArrayList<>();

  private IdleConnections() {}

  /**
   * Opens connections and sends one request on each.
   *
   * @param address the proxy's address as {@code ip:port}
   * @param count the number of connections
   * @return the connections
   * @throws UncheckedIOException if a connection cannot be opened or its request fails
   */
  public static IdleConnections open(String address, int count) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress proxy =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    IdleConnections idle = new IdleConnections();
    try {
      for (int i = 0; i < count; i++) {
        SocketChannel channel = SocketChannel.open(proxy);
        idle.channels.add(channel);
        sendProbe(channel, address);
      }
    } catch (IOException e) {
      idle.close();
      throw new UncheckedIOException(
          "opening idle connections failed after " + idle.channels.size() + " connections", e);
    }
    return idle;
  }

  private static boolean sendProbe(SocketChannel channel, String address) throws IOException {
    String request = "GET /health/live HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
    channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
    return channel.read(ByteBuffer.allocate(RESPONSE_BUFFER_BYTES)) > 0;
  }

  /**
   * Returns the number of connections on which the proxy still answers a request.
   *
   * @param address the proxy's address as {@code ip:port}
   * @return the number of usable connections
   */
  public int countUsable(String address) {
    int usable = 0;
    for (SocketChannel channel : channels) {
      try {
        usable += sendProbe(channel, address) ? 1 : 0;
      } catch (IOException e) {
        continue;
      }
    }
    return usable;
  }

  @Override
  public void close() {
    for (SocketChannel channel : channels) {
      try {
        channel.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
