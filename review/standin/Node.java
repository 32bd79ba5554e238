import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** One program of the deploy file in a process of its own, with a filled-in settings file. */
final class Node implements AutoCloseable {
  /** Sections for deployments with load control, which this stand-in is not. */
  private static final String PRESENT_QUOTA_WINDOW =
      "\\{\\{#bounds\\.quota-window-s}}.*?\\{\\{/bounds\\.quota-window-s}}";

  private static final String ABSENT_QUOTA_WINDOW =
      "\\{\\{\\^bounds\\.quota-window-s}}(.*?)\\{\\{/bounds\\.quota-window-s}}";

  private static final String ZONES = "{{#zones}}{{@}}{{,}}{{/zones}}";

  private final Record record;
  private final String name;
  private final String ip;
  private final int front;
  private final int ready;
  private final Path settings;
  private final Path log;
  private Process process;

  /** Fills in the template of the deploy file; {@code index} sets the loopback address. */
  Node(
      Record record,
      Path directory,
      int index,
      String name,
      String zone,
      String store,
      String duties,
      boolean fenced)
      throws IOException {
    this.record = record;
    this.name = name;
    this.ip = "127.0.1." + (10 + index);
    this.front = freePort(1);
    this.ready = freePort(1);
    int range = freePort(2);
    this.settings = directory.resolve(name + ".settings");
    this.log = directory.resolve(name + ".log");
    Map<String, String> fields = new TreeMap<>();
    fields.put("node", name);
    fields.put("zone", zone);
    fields.put("ip", ip);
    fields.put("listen.front", ip + ":" + front);
    fields.put("listen.ready", ip + ":" + ready);
    fields.put("platform.address", store);
    fields.put("cloud.address", duties);
    fields.put("limits.cpu-share", "0.75");
    fields.put("limits.cores", "1");
    fields.put("bounds.stable-window-ms", "4000");
    fields.put("bounds.config-apply-ms", "3000");
    fields.put("bounds.drain-ms", "7000");
    fields.put("bounds.grace-s", "6.0");
    fields.put("bounds.fencing-enforced", Boolean.toString(fenced));
    fields.put("bounds.quota-window-s", "");
    fields.put("bounds.quota-overage", "");
    fields.put("bounds.quota-slack", "");
    fields.put("port-range.0", Integer.toString(range));
    fields.put("port-range.1", Integer.toString(range + 1));
    String text = Files.readString(Path.of("deploy/settings.properties")).replace(ZONES, "a,b,c");
    text = text.replaceAll(PRESENT_QUOTA_WINDOW, "").replaceAll(ABSENT_QUOTA_WINDOW, "$1");
    for (Map.Entry<String, String> field : fields.entrySet()) {
      text = text.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("the template has a placeholder that this stand-in does not fill in");
    }
    Files.writeString(settings, text);
  }

  private int freePort(int count) throws IOException {
    while (true) {
      int first;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
        first = socket.getLocalPort();
      }
      if (count == 1 || isFree(first + 1)) {
        return first;
      }
    }
  }

  private boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
      return true;
    } catch (IOException | IllegalArgumentException e) {
      return false;
    }
  }

  String name() {
    return name;
  }

  String ip() {
    return ip;
  }

  int front() {
    return front;
  }

  Path log() {
    return log;
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command()).redirectErrorStream(true);
    builder.environment().put("LYCHEEJUNCTION_SETTINGS", settings.toAbsolutePath().toString());
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    record.line(name, "starts at " + ip + ":" + front);
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        String words = line.substring(7, line.lastIndexOf('"'));
        return List.of(words.split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + ready + "/readiness").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int awaitExit(long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  void signal(String signal) {
    record.line("case", "SIG" + signal + " to " + name);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .redirectErrorStream(true)
          .redirectOutput(new File("/dev/null"))
          .start()
          .waitFor();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
