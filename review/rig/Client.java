import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client's session with one gateway. */
final class Client implements AutoCloseable {
  /** An answer: rows, the signature, the error code, and the state and position after it. */
  record Answer(List<String> rows, String signature, String error, String ready) {
    boolean isDone() {
      return error == null;
    }

    String code() {
      return error == null ? "" : error.split(" ")[0];
    }
  }

  /** The connection ended before the answer was complete; an error may have come without READY. */
  static final class Ended extends IOException {
    private static final long serialVersionUID = 1;

    private final String error;

    Ended(String error) {
      super(error == null ? "nothing, the connection ended" : "ERROR " + error + ", then the end");
      this.error = error;
    }

    /** Returns the error that came before the end, or null. */
    String error() {
      return error;
    }
  }

  private final Socket socket = new Socket();
  private final BufferedReader in;

  Client(String ip, int port, String database, int timeoutMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, port), 2_000);
    socket.setSoTimeout(timeoutMs);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    send("STARTUP " + database + " u" + Integer.toHexString(socket.getLocalPort()));
    String line = in.readLine();
    if (line == null || !line.startsWith("READY")) {
      close();
      throw new IOException("session refused: " + line);
    }
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private String readLine(String error) throws IOException {
    String line;
    try {
      line = in.readLine();
    } catch (SocketException e) {
      line = null;
    }
    if (line == null) {
      throw new Ended(error);
    }
    return line;
  }

  Answer query(String id, String text) throws IOException {
    send("QUERY " + id + " " + text);
    List<String> rows = new ArrayList<>();
    String signature = null;
    String error = null;
    while (true) {
      String line = readLine(error);
      if (line.startsWith("ROW ")) {
        rows.add(line.substring(4));
      } else if (line.startsWith("COMPLETE ")) {
        signature = line.substring(9);
      } else if (line.startsWith("ERROR ")) {
        error = line.substring(6);
        if (error.isEmpty()) {
          error = "-";
        }
      } else if (line.startsWith("READY ")) {
        return new Answer(rows, signature, error, line.substring(6));
      } else {
        throw new IOException("unknown message");
      }
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }
}
