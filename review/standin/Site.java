import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: the platform, one service of three instances, and one VM in each zone. */
final class Site implements AutoCloseable {
  static final String SERVICE = "ledger";
  static final String LATEST = "orders";
  static final String AGED = "boards";
  static final String OWN = "logs";
  static final List<String> ZONES = List.of("a", "b", "c");

  static final long HEARTBEATS_LAPSE_MS = 3_600;

  final Record record;
  final Path directory;
  final Store store;
  final Group group;
  final Duties duties;
  final List<Node> nodes = new ArrayList<>();

  Site(Path recordFile, long promoteMs, boolean fenced, Duties.Listener onOrder)
      throws IOException {
    record = new Record(recordFile);
    directory = Files.createTempDirectory("review");
    store = new Store(record);
    group = new Group(record, store, SERVICE, promoteMs);
    duties = new Duties(record, group, fenced, onOrder);
    for (int i = 0; i < ZONES.size(); i++) {
      group.add(new Instance(group, "i-" + (i + 1), ZONES.get(i), 20, i == 0));
    }
    configure(1);
    for (int i = 0; i < ZONES.size(); i++) {
      nodes.add(
          new Node(
              record,
              directory,
              i,
              "edge-" + ZONES.get(i) + "-1",
              ZONES.get(i),
              store.address(),
              duties.address(),
              fenced));
    }
  }

  /** Writes a configuration with the three databases and further ones, as the operator does. */
  void configure(long version, String... furtherDatabases) {
    List<Object> routes = new ArrayList<>();
    for (String database : furtherDatabases) {
      routes.add(route(database, "primary"));
    }
    routes.add(route(LATEST, "primary"));
    routes.add(route(AGED, "bounded_staleness"));
    routes.add(route(OWN, "read_your_writes"));
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("max-conns", 60);
    service.put("sync-replicas", 0);
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", version);
    configuration.put("routes", routes);
    configuration.put("services", List.of(service));
    configuration.put("limits", Map.of("tx-idle-ms", 3_000));
    store.put("op", "config", Json.write(configuration));
  }

  private static Map<String, Object> route(String database, String type) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", "r-" + database);
    route.put("host", database);
    route.put("route-type", type);
    route.put("timeout-ms", 1_000);
    route.put("target-latency-ms", 200);
    route.put("priority", 1);
    route.put("backend", SERVICE);
    route.put("max-staleness-ms", 1_500);
    return route;
  }

  /** Starts all VMs and waits until each serves a write; returns false if one does not. */
  boolean start() throws IOException, InterruptedException {
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      long untilMs = record.nowMs() + 20_000;
      while (!serves(node)) {
        if (record.nowMs() > untilMs || !node.isAlive()) {
          record.line("case", node.name() + " does not serve");
          return false;
        }
        Thread.sleep(200);
      }
    }
    return true;
  }

  private boolean serves(Node node) {
    if (!node.isReady()) {
      return false;
    }
    try (Client client = new Client(record, "check", node.ip(), node.front(), LATEST)) {
      return client.query("WRITE check 1").isOk();
    } catch (IOException e) {
      return false;
    }
  }

  Node node(int index) {
    return nodes.get(index);
  }

  /** Returns the VM whose process has sent a call as the given holder. */
  Node nodeOf(String holder) {
    return nodes.stream().filter(node -> holder.startsWith(node.name() + "-")).findFirst().orElse(null);
  }

  /** Crashes an instance; its registration lapses after three heartbeat intervals. */
  void crash(String id) {
    group.instance(id).crash();
    Thread.startVirtualThread(
        () -> {
          try {
            Thread.sleep(HEARTBEATS_LAPSE_MS);
            store.remove("servers", id);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Ends all processes and copies their logs beside the record where the variable LOGS is set. */
  @Override
  public void close() throws IOException {
    nodes.forEach(Node::close);
    duties.close();
    store.close();
    String logs = System.getenv("LOGS");
    if (logs != null) {
      for (Node node : nodes) {
        Files.copy(
            node.log(),
            Path.of(logs, node.name() + ".log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    record.close();
  }
}
