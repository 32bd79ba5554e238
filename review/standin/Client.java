import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One client session. */
final class Client implements AutoCloseable {
  private static final int READY_TIMEOUT_MS = 2_000;
  private static final AtomicLong NEXT_ID = new AtomicLong();

  /** The answer to a request; {@code code} is OK, an error code, or CLOSED without an answer. */
  record Reply(String id, String code, String row, String state) {
    boolean isOk() {
      return code.equals("OK");
    }

    boolean isClosed() {
      return code.equals("CLOSED");
    }
  }

  private final Record record;
  private final String name;
  private final Socket socket = new Socket();
  private final BufferedReader in;
  private final OutputStream out;

  Client(Record record, String name, String host, int port, String database) throws IOException {
    this.record = record;
    this.name = name;
    socket.connect(new InetSocketAddress(host, port), READY_TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READY_TIMEOUT_MS);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    out = socket.getOutputStream();
    send("STARTUP " + database + " " + name);
    String first = in.readLine();
    if (first == null || !first.startsWith("READY ")) {
      socket.close();
      throw new IOException("session refused: " + first);
    }
    socket.setSoTimeout(0);
  }

  static String nextId() {
    return String.format("%016x", 0x5c0e000000000000L + NEXT_ID.incrementAndGet());
  }

  Reply query(String text) {
    return query(nextId(), text);
  }

  Reply query(String id, String text) {
    record.line(name, "sends " + id + " " + (text.length() > 60 ? text.substring(0, 60) + "..." : text));
    Reply reply = exchange(id, text);
    record.line(name, "got   " + id + " " + reply.code() + " " + reply.row() + " " + reply.state());
    return reply;
  }

  private Reply exchange(String id, String text) {
    String code = "OK";
    String row = "";
    try {
      send("QUERY " + id + " " + text);
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("READY ")) {
          return new Reply(id, code, row, line.substring(6));
        }
        if (line.startsWith("ERROR ")) {
          code = line.split(" ")[1];
          row = line;
        } else if (line.startsWith("ROW ")) {
          row = line;
        }
      }
    } catch (IOException e) {
      row = String.valueOf(e.getMessage());
    }
    return new Reply(id, "CLOSED", row, "-");
  }

  private void send(String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
