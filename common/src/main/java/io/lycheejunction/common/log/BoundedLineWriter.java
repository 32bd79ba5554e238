package io.lycheejunction.common.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.Level;

/**
 * Writes events as lines of key=value pairs on a background thread.
 *
 * <p>{@link #write} does not wait for output: lines are dropped while the buffer is full, and the
 * number of dropped lines is logged before the next line that fits. The background thread flushes
 * the buffer at most once every {@value #FLUSH_INTERVAL_MS} ms.
 */
public final class BoundedLineWriter implements EventSink {
  /** Time between the first buffered line and the flush, in milliseconds. */
  static final long FLUSH_INTERVAL_MS = 50;

  private final OutputStream out;
  private final LongSupplier wallMs;
  private final int maxChars;
  private final Object lock = new Object();
  private StringBuilder buffer = new StringBuilder();
  private long dropped;
  private boolean closed;

  /**
   * Creates a writer; {@link #start} starts its thread.
   *
   * @param out the stream that lines are written to, in UTF-8
   * @param wallMs supplies the wall-clock time, in milliseconds since the epoch
   * @param maxChars the number of buffered characters from which on lines are dropped
   */
  public BoundedLineWriter(OutputStream out, LongSupplier wallMs, int maxChars) {
    this.out = Objects.requireNonNull(out, "out is null");
    this.wallMs = Objects.requireNonNull(wallMs, "wallMs is null");
    this.maxChars = maxChars;
  }

  /** Starts the background thread. */
  public void start() {
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void write(Level level, String loggerName, String event, Object... keysAndValues) {
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
      append(timeMs, level, loggerName, event, keysAndValues);
      lock.notifyAll();
    }
  }

  /** Stops the background thread and flushes the buffer; later lines are not written. */
  public void close() {
    synchronized (lock) {
      closed = true;
      lock.notifyAll();
    }
    flush();
  }

  /** Writes all buffered lines; blocks until they are written. */
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
        // The log output itself has failed, so the error cannot be logged.
        closed = true;
      }
    }
  }

  private void run() {
    try {
      while (awaitBufferedLines()) {
        Thread.sleep(FLUSH_INTERVAL_MS);
        flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean awaitBufferedLines() throws InterruptedException {
    synchronized (lock) {
      while (buffer.isEmpty() && !closed) {
        lock.wait();
      }
      return !closed;
    }
  }

  private void append(
      long timeMs, Level level, String loggerName, String event, Object... keysAndValues) {
    buffer.append("time_ms=").append(timeMs);
    buffer.append(" level=").append(level.name());
    buffer.append(" logger=").append(loggerName);
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
      char character = value.charAt(i);
      buffer.append(character == '"' ? '\'' : character < ' ' ? ' ' : character);
    }
    buffer.append('"');
  }

  private static boolean isPlain(String value) {
    for (int i = 0; i < value.length(); i++) {
      char character = value.charAt(i);
      if (character <= ' ' || character == '"') {
        return false;
      }
    }
    return !value.isEmpty();
  }
}
