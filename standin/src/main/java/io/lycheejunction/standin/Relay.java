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
 * Forwards TCP connections from one failure domain to a process in another, with the delay and the
 * cuts of the link between them.
 *
 * <p>While the process refuses connections, the relay refuses them as well.
 */
final class Relay implements Closeable {
  private static final int CHUNK_BYTES = 16_384;
  private static final long LINK_POLL_MS = 2;
  private static final long PROCESS_RETRY_MS = 100;
  private static final byte[] END_OF_STREAM = new byte[0];

  private record Chunk(byte[] bytes, long dueAtMs) {}

  private final Network network;
  private final String from;
  private final String to;
  private final InetSocketAddress processAddress;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final InetSocketAddress address;
  private ServerSocket listenSocket;
  private boolean closed;

  /**
   * Creates a relay on a free port and starts it.
   *
   * @param network provides the state of the link and the clock
   * @param from the failure domain of the clients
   * @param to the failure domain of the process
   * @param ip the address to listen on
   * @param processAddress the address of the process
   */
  Relay(Network network, String from, String to, InetAddress ip, InetSocketAddress processAddress)
      throws IOException {
    this.network = network;
    this.from = from;
    this.to = to;
    this.processAddress = processAddress;
    this.listenSocket = new ServerSocket(0, CHUNK_BYTES, ip);
    this.address = (InetSocketAddress) listenSocket.getLocalSocketAddress();
    Thread.startVirtualThread(this::accept);
  }

  /** Returns the address of the relay as {@code ip:port}. */
  String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void accept() {
    ServerSocket listener = listenSocket;
    while (true) {
      try {
        Socket client = listener.accept();
        Thread.startVirtualThread(() -> connect(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    Socket upstream = new Socket();
    sockets.add(client);
    sockets.add(upstream);
    try {
      awaitLinkRestored();
      upstream.connect(processAddress);
      client.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      forward(client, upstream);
      forward(upstream, client);
    } catch (IOException e) {
      closeSockets(client, upstream);
      refuseConnections();
    } catch (InterruptedException e) {
      closeSockets(client, upstream);
    }
  }

  private void awaitLinkRestored() throws InterruptedException {
    while (network.links().isCut(from, to)) {
      network.clock().sleepMs(LINK_POLL_MS);
    }
  }

  private void forward(Socket source, Socket destination) {
    LinkedBlockingQueue<Chunk> queue = new LinkedBlockingQueue<>();
    Thread.startVirtualThread(() -> read(source, queue));
    Thread.startVirtualThread(() -> write(queue, source, destination));
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
      queue.add(new Chunk(END_OF_STREAM, dueAtMs()));
      return;
    }
    queue.add(new Chunk(END_OF_STREAM, dueAtMs()));
  }

  private long dueAtMs() {
    return network.clock().monotonicMs() + network.links().delayMs(from, to);
  }

  private void write(LinkedBlockingQueue<Chunk> queue, Socket source, Socket destination) {
    try {
      OutputStream out = destination.getOutputStream();
      Chunk chunk = takeDue(queue);
      while (chunk.bytes() != END_OF_STREAM) {
        out.write(chunk.bytes());
        chunk = takeDue(queue);
      }
    } catch (IOException | InterruptedException e) {
      closeSockets(source, destination);
      return;
    }
    closeSockets(source, destination);
  }

  private Chunk takeDue(LinkedBlockingQueue<Chunk> queue) throws InterruptedException {
    Chunk chunk = queue.take();
    network.sleepMs(chunk.dueAtMs() - network.clock().monotonicMs());
    awaitLinkRestored();
    return chunk;
  }

  private void closeSockets(Socket... toClose) {
    for (Socket socket : toClose) {
      sockets.remove(socket);
      closeQuietly(socket);
    }
  }

  private static void closeQuietly(Closeable closeable) {
    try {
      closeable.close();
    } catch (IOException e) {
      return;
    }
  }

  /** Closes the listening socket until the process accepts connections again. */
  private synchronized void refuseConnections() {
    if (closed || listenSocket.isClosed()) {
      return;
    }
    closeQuietly(listenSocket);
    Thread.startVirtualThread(this::awaitRestart);
  }

  private void awaitRestart() {
    try {
      while (!isProcessListening()) {
        network.clock().sleepMs(PROCESS_RETRY_MS);
      }
      reopen();
    } catch (IOException | InterruptedException e) {
      close();
    }
  }

  private synchronized boolean isProcessListening() {
    if (closed) {
      return true;
    }
    try (Socket probe = new Socket()) {
      probe.connect(processAddress);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private synchronized void reopen() throws IOException {
    if (closed) {
      return;
    }
    listenSocket = new ServerSocket(address.getPort(), CHUNK_BYTES, address.getAddress());
    Thread.startVirtualThread(this::accept);
  }

  @Override
  public synchronized void close() {
    closed = true;
    closeQuietly(listenSocket);
    sockets.forEach(Relay::closeQuietly);
  }
}
