import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the deploy file, with a settings file filled in from its template. */
final class Gateway {
  private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$");
  private static final Pattern TEMPLATE = Pattern.compile("(?m)^template\\s*=\\s*\"(.*)\"\\s*$");
  private static final int PORT = 8_784;

  final String vm;
  final String zone;
  final String ip;
  private final Path root;
  private final Path settings;
  private final Path log;
  private final Record record;
  private Process process;

  Gateway(
      Path root, Path folder, Record record, String vm, String zone, String ip,
      Map<String, String> fields)
      throws IOException {
    this.root = root;
    this.record = record;
    this.vm = vm;
    this.zone = zone;
    this.ip = ip;
    this.settings = folder.resolve(vm + ".settings");
    this.log = folder.resolve(vm + ".log");
    String template = Files.readString(root.resolve(deployed(TEMPLATE)));
    Files.writeString(settings, fill(template, fields));
  }

  private String deployed(Pattern pattern) throws IOException {
    Matcher found = pattern.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!found.find()) {
      throw new IOException("deploy/system.toml lacks " + pattern);
    }
    return found.group(1);
  }

  /** Fills in the placeholders and sections that the template uses. */
  private static String fill(String template, Map<String, String> fields) {
    String text = template;
    Matcher section = Pattern.compile("\\{\\{([#^])([a-z.-]+)}}(.*?)\\{\\{/\\2}}").matcher(text);
    StringBuilder out = new StringBuilder();
    while (section.find()) {
      String value = fields.getOrDefault(section.group(2), "");
      String body = section.group(3);
      boolean list = body.contains("{{@}}");
      String filled =
          section.group(1).equals("^")
              ? value.isEmpty() ? body : ""
              : value.isEmpty() ? "" : list ? value : body;
      section.appendReplacement(out, Matcher.quoteReplacement(filled));
    }
    section.appendTail(out);
    Matcher value = Pattern.compile("\\{\\{([a-z0-9.-]+)}}").matcher(out.toString());
    StringBuilder filled = new StringBuilder();
    while (value.find()) {
      value.appendReplacement(
          filled, Matcher.quoteReplacement(fields.getOrDefault(value.group(1), "")));
    }
    value.appendTail(filled);
    return filled.toString();
  }

  void start() throws IOException {
    List<String> command = new ArrayList<>(List.of(deployed(RUN).split(" ")));
    command.set(0, root.resolve(command.getFirst()).toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LYCHEEJUNCTION_SETTINGS", settings.toString());
    File file = log.toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(file));
    process = builder.start();
    record.line("gateway " + vm + " starts, pid " + process.pid());
  }

  Path log() {
    return log;
  }

  Path settings() {
    return settings;
  }

  Process process() {
    return process;
  }

  void signal(String name) throws IOException, InterruptedException {
    record.say("gateway " + vm + " gets SIG" + name);
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  void kill() {
    if (process != null && process.isAlive()) {
      record.line("gateway " + vm + " gets SIGKILL");
      process.destroyForcibly();
    }
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  int callersPort() {
    return PORT;
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + (PORT + 1) + "/readiness").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
