package io.lycheejunction.standin;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Carries TCP connections from one failure domain to a process in another, with the delay and the
 * cuts of the link.
 *
 * <p>While the process refuses connections, so does the relay.
 */
final class Relay implements Closeable {
  private static final int CHUNK_BYTES = 16_384;
  private static final long POLL_MS = 2;
  private static final long RETRY_MS = 100;
  private static final byte[] END = new byte[0];

  private record Chunk(byte[] bytes, long dueAtMs) {}

  private final Network network;
  private final String from;
  private final String to;
  private final InetSocketAddress real;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final InetSocketAddress address;
  private ServerSocket server;
  private boolean closed;

  /**
   * Creates a relay on a free port and starts it.
   *
   * @param network the network
   * @param from the failure domain of those who connect
   * @param to the failure domain of the process
   * @param ip the address to listen on
   * @param real the address of the process
   */
  Relay(Network network, String from, String to, InetAddress ip, InetSocketAddress real)
      throws IOException {
    this.network = network;
    this.from = from;
    this.to = to;
    this.real = real;
    this.server = new ServerSocket(0, CHUNK_BYTES, ip);
    this.address = (InetSocketAddress) server.getLocalSocketAddress();
    Thread.startVirtualThread(this::accept);
  }

  String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void accept() {
    ServerSocket current = server;
    while (true) {
      try {
        Socket near = current.accept();
        Thread.startVirtualThread(() -> connect(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    Socket far = new Socket();
    sockets.add(near);
    sockets.add(far);
    try {
      awaitLink();
      far.connect(real);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      carry(near, far);
      carry(far, near);
    } catch (IOException e) {
      drop(near, far);
      refuse();
    } catch (InterruptedException e) {
      drop(near, far);
    }
  }

  private void awaitLink() throws InterruptedException {
    while (network.links().isCut(from, to)) {
      network.clock().sleepMs(POLL_MS);
    }
  }

  private void carry(Socket source, Socket sink) {
    LinkedBlockingQueue<Chunk> queue = new LinkedBlockingQueue<>();
    Thread.startVirtualThread(() -> read(source, queue));
    Thread.startVirtualThread(() -> write(queue, source, sink));
  }

  private void read(Socket source, LinkedBlockingQueue<Chunk> queue) {
    byte[] buffer = new byte[CHUNK_BYTES];
    try {
      InputStream in = source.getInputStream();
      int length = in.read(buffer);
      while (length >= 0) {
        queue.add(new Chunk(Arrays.copyOf(buffer, length), dueAtMs()));
        length = in.read(buffer);
      }
    } catch (IOException e) {
      queue.add(new Chunk(END, dueAtMs()));
      return;
    }
    queue.add(new Chunk(END, dueAtMs()));
  }

  private long dueAtMs() {
    return network.clock().monotonicMs() + network.links().delayMs(from, to);
  }

  private void write(LinkedBlockingQueue<Chunk> queue, Socket source, Socket sink) {
    try {
      OutputStream out = sink.getOutputStream();
      Chunk chunk = next(queue);
      while (chunk.bytes() != END) {
        out.write(chunk.bytes());
        chunk = next(queue);
      }
    } catch (IOException | InterruptedException e) {
      drop(source, sink);
      return;
    }
    drop(source, sink);
  }

  private Chunk next(LinkedBlockingQueue<Chunk> queue) throws InterruptedException {
    Chunk chunk = queue.take();
    network.sleepMs(chunk.dueAtMs() - network.clock().monotonicMs());
    awaitLink();
    return chunk;
  }

  private void drop(Socket... both) {
    for (Socket socket : both) {
      sockets.remove(socket);
      shut(socket);
    }
  }

  private static void shut(Closeable closeable) {
    try {
      closeable.close();
    } catch (IOException e) {
      return;
    }
  }

  /** Refuses connections until the process accepts them again. */
  private synchronized void refuse() {
    if (closed || server.isClosed()) {
      return;
    }
    shut(server);
    Thread.startVirtualThread(this::awaitProcess);
  }

  private void awaitProcess() {
    try {
      while (!answers()) {
        network.clock().sleepMs(RETRY_MS);
      }
      reopen();
    } catch (IOException | InterruptedException e) {
      close();
    }
  }

  private synchronized boolean answers() {
    if (closed) {
      return true;
    }
    try (Socket probe = new Socket()) {
      probe.connect(real);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private synchronized void reopen() throws IOException {
    if (closed) {
      return;
    }
    server = new ServerSocket(address.getPort(), CHUNK_BYTES, address.getAddress());
    Thread.startVirtualThread(this::accept);
  }

  @Override
  public synchronized void close() {
    closed = true;
    shut(server);
    sockets.forEach(Relay::shut);
  }
}
