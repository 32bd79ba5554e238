package io.lycheejunction.common.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.Level;

/**
 * Writes events as lines of key=value pairs on a thread of its own.
 *
 * <p>Callers never wait: lines that find the buffer full are dropped, and their number is written
 * once there is room again. The thread writes what has gathered, at most every {@value #GATHER_MS}
 * ms.
 */
public final class BoundedLineWriter implements EventSink {
  /** How long lines gather before they are written, in milliseconds. */
  static final long GATHER_MS = 50;

  private final OutputStream out;
  private final LongSupplier wallMs;
  private final int maxChars;
  private final Object lock = new Object();
  private StringBuilder buffer = new StringBuilder();
  private long dropped;
  private boolean closed;

  /**
   * Creates a writer; its thread has to be started.
   *
   * @param out where lines go
   * @param wallMs gives the wall-clock time, in milliseconds since the epoch
   * @param maxChars the most characters that may wait to be written
   */
  public BoundedLineWriter(OutputStream out, LongSupplier wallMs, int maxChars) {
    this.out = Objects.requireNonNull(out, "out is null");
    this.wallMs = Objects.requireNonNull(wallMs, "wallMs is null");
    this.maxChars = maxChars;
  }

  /** Starts the thread that writes. */
  public void start() {
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void write(Level level, String owner, String event, Object... keysAndValues) {
    long timeMs = wallMs.getAsLong();
    synchronized (lock) {
      if (buffer.length() >= maxChars) {
        dropped++;
        return;
      }
      if (dropped > 0) {
        append(timeMs, Level.WARN, "BoundedLineWriter", "log_lines_dropped", "count", dropped);
        dropped = 0;
      }
      append(timeMs, level, owner, event, keysAndValues);
      lock.notifyAll();
    }
  }

  /** Writes what has gathered, and nothing after it. */
  public void close() {
    synchronized (lock) {
      closed = true;
      lock.notifyAll();
    }
    flush();
  }

  /** Writes what has gathered; blocks until it is written. */
  void flush() {
    String lines;
    synchronized (lock) {
      lines = buffer.toString();
      buffer = new StringBuilder();
    }
    synchronized (out) {
      try {
        out.write(lines.getBytes(StandardCharsets.UTF_8));
        out.flush();
      } catch (IOException e) {
        // There is nowhere left to report it.
        closed = true;
      }
    }
  }

  private void run() {
    try {
      while (awaitLines()) {
        Thread.sleep(GATHER_MS);
        flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean awaitLines() throws InterruptedException {
    synchronized (lock) {
      while (buffer.isEmpty() && !closed) {
        lock.wait();
      }
      return !closed;
    }
  }

  private void append(
      long timeMs, Level level, String owner, String event, Object... keysAndValues) {
    buffer.append("time_ms=").append(timeMs);
    buffer.append(" level=").append(level.name());
    buffer.append(" logger=").append(owner);
    buffer.append(" event=").append(event);
    for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
      buffer.append(' ').append(keysAndValues[i]).append('=');
      appendValue(String.valueOf(keysAndValues[i + 1]));
    }
    buffer.append('\n');
  }

  private void appendValue(String value) {
    if (isPlain(value)) {
      buffer.append(value);
      return;
    }
    buffer.append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      buffer.append(c == '"' ? '\'' : c < ' ' ? ' ' : c);
    }
    buffer.append('"');
  }

  private static boolean isPlain(String value) {
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c <= ' ' || c == '"') {
        return false;
      }
    }
    return !value.isEmpty();
  }
}
