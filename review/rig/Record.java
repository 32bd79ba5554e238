import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt of a case: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  double seconds() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  void line(String text) {
    String line = String.format(Locale.ROOT, "%8.3f %s", seconds(), text);
    synchronized (out) {
      out.println(line);
    }
  }

  /** Writes a line to the record and to standard output. */
  void say(String text) {
    line(text);
    System.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
  }

  @Override
  public void close() {
    out.close();
  }
}
