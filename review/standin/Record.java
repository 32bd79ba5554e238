import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  synchronized void line(String who, String what) {
    out.printf("%7d %-12s %s%n", nowMs(), who, what);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
