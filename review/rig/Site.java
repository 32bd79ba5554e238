import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses: the store, one service, gateways and clients. */
final class Site implements AutoCloseable {
  /** What a small deployment has: the figures of one sheet. */
  record Sheet(
      List<String> zones,
      List<Integer> vmsByZone,
      boolean fenced,
      int syncReplicas,
      int slots,
      int maxConnections,
      long promoteMs) {}

  private static final int PRINTED_VIOLATIONS = 5;

  static final String SERVICE = "svc1";
  static final String PRIMARY = "db-primary";
  static final String BOUNDED = "db-bounded";
  static final String OWN = "db-own";

  final Record record;
  final Sheet sheet;
  final Store store;
  final Group group;
  final List<Gateway> gateways = new ArrayList<>();
  final String net;
  final AtomicLong ids = new AtomicLong();
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger unknown = new AtomicInteger();
  private final Path folder;
  private final List<Thread> clients = new ArrayList<>();
  private volatile boolean stopping;

  Site(Path root, Path caseFolder, Sheet sheet) throws IOException {
    this.sheet = sheet;
    this.record = new Record(caseFolder.resolve("record.txt"));
    this.folder = Files.createTempDirectory("review-");
    this.net = "127." + ThreadLocalRandom.current().nextInt(20, 250) + ".";
    Group[] made = new Group[1];
    this.store =
        new Store(
            record,
            (backend, id, holder, token) ->
                backend.equals(SERVICE) ? made[0].promote(id, holder, token) : 409);
    this.group =
        new Group(
            SERVICE,
            sheet.syncReplicas(),
            sheet.promoteMs(),
            sheet.maxConnections(),
            sheet.slots(),
            store,
            record);
    made[0] = group;
    int number = 0;
    for (int zone = 0; zone < sheet.zones().size(); zone++) {
      for (int i = 0; i < sheet.vmsByZone().get(zone); i++) {
        addGateway(root, sheet.zones().get(zone), i + 1, ++number);
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private void addGateway(Path root, String zone, int inZone, int number) throws IOException {
    String ip = net + "1." + number;
    String vm = "edge-" + zone + "-" + inZone;
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("node", vm);
    fields.put("zone", zone);
    fields.put("ip", ip);
    fields.put("listen.front", ip + ":8784");
    fields.put("listen.ready", ip + ":8785");
    fields.put("platform.address", store.listen(net + "2." + number));
    fields.put("cloud.address", store.listen(net + "3." + number));
    fields.put("zones", String.join(",", sheet.zones()));
    fields.put("limits.cpu-share", "0.75");
    fields.put("limits.cores", "1");
    fields.put("limits.max-fds", "4300");
    fields.put("limits.memory-mb", "430");
    fields.put("bounds.stable-window-ms", "4000");
    fields.put("bounds.config-apply-ms", "3000");
    fields.put("bounds.drain-ms", "7000");
    fields.put("bounds.grace-s", "6");
    fields.put("bounds.fencing-enforced", Boolean.toString(sheet.fenced()));
    fields.put("port-range.0", "7440");
    fields.put("port-range.1", "7455");
    gateways.add(new Gateway(root, folder, record, vm, zone, ip, fields));
  }

  /** Writes the configuration, as the operator does. */
  void configure(long version) {
    List<Object> routes = new ArrayList<>();
    routes.add(route(PRIMARY, "primary", 1_000, 200, 0));
    routes.add(route(BOUNDED, "bounded_staleness", 2_000, 600, 1_500));
    routes.add(route(OWN, "read_your_writes", 1_000, 400, 2_500));
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("health-path", "/health");
    service.put("max-conns", sheet.maxConnections());
    service.put("protocol", "h1");
    service.put("tls", false);
    service.put("sync-replicas", sheet.syncReplicas());
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", version);
    configuration.put("routes", routes);
    configuration.put("services", List.of(service));
    configuration.put("limits", Map.of("tx-idle-ms", 3_000));
    store.put("op", "config", Json.write(configuration));
  }

  private static Map<String, Object> route(
      String database, String type, long timeoutMs, long latencyMs, long stalenessMs) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", "r-" + database);
    route.put("host", database);
    route.put("path-prefix", "/");
    route.put("route-type", type);
    route.put("timeout-ms", timeoutMs);
    route.put("target-latency-ms", latencyMs);
    route.put("priority", 1);
    route.put("backend", SERVICE);
    route.put("attempts", 2);
    if (stalenessMs > 0) {
      route.put("max-staleness-ms", stalenessMs);
    }
    return route;
  }

  /** Starts all gateways and waits until they are ready. */
  void startGateways() throws IOException, InterruptedException {
    for (Gateway gateway : gateways) {
      gateway.start();
    }
    awaitReady(20);
  }

  void awaitReady(int limitS) throws IOException, InterruptedException {
    long untilMs = Group.nowMs() + limitS * 1_000L;
    for (Gateway gateway : gateways) {
      while (!gateway.isReady()) {
        if (Group.nowMs() > untilMs) {
          throw new CannotRun(gateway.vm + " is not ready in time");
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
    record.say("all gateways are ready");
  }

  /** The case could not run, so it tells nothing. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  /** One operation of a client on its session. */
  interface Operation {
    void run(Client client, Gateway gateway) throws IOException, InterruptedException;
  }

  /** Keeps sessions open at each gateway that repeat an operation; they connect again when cut. */
  void load(String database, int sessionsPerGateway, long pauseMs, Operation operation) {
    for (Gateway gateway : gateways) {
      for (int i = 0; i < sessionsPerGateway; i++) {
        clients.add(
            Thread.startVirtualThread(() -> session(gateway, database, pauseMs, operation)));
      }
    }
  }

  private void session(Gateway gateway, String database, long pauseMs, Operation operation) {
    while (!stopping) {
      try (Client client =
          new Client(gateway.ip, gateway.callersPort(), database, 5_000)) {
        while (!stopping) {
          operation.run(client, gateway);
          TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
      } catch (IOException e) {
        try {
          TimeUnit.MILLISECONDS.sleep(200);
        } catch (InterruptedException interrupted) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  String nextId() {
    return String.format("%016x", 0x5c0e000000000000L + ids.incrementAndGet());
  }

  /** Writes one item and records the answer. */
  Client.Answer write(Client client, Gateway gateway) throws IOException {
    String id = nextId();
    String item = Long.toHexString(ThreadLocalRandom.current().nextInt(2_000));
    String text = "WRITE " + item + " v" + id;
    record.line("sent " + gateway.vm + " " + id + " " + text);
    try {
      Client.Answer answer = client.query(id, text);
      answered(gateway, id, answer);
      if (answer.isDone()) {
        group.ackedToClients.add(id);
      }
      return answer;
    } catch (IOException e) {
      record.line("answered " + gateway.vm + " " + id + " nothing: " + e.getMessage());
      unknown.incrementAndGet();
      throw e;
    }
  }

  void answered(Gateway gateway, String id, Client.Answer answer) {
    record.line(
        "answered " + gateway.vm + " " + id + " "
            + (answer.isDone() ? "COMPLETE " + answer.signature() : "ERROR " + answer.error())
            + " READY " + answer.ready());
    if (answer.isDone()) {
      served.incrementAndGet();
    } else {
      refused.incrementAndGet();
    }
  }

  void sleepMs(long ms) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(ms);
  }

  void stopClients() throws InterruptedException {
    stopping = true;
    for (Thread client : clients) {
      client.join(2_000);
    }
  }

  /** Prints the result and returns the exit status: 1 if a rule was broken. */
  int verdict() {
    record.say(
        "served=" + served + " refused=" + refused + " unanswered=" + unknown
            + " promotions=" + group.promotions);
    if (group.violations.isEmpty()) {
      record.say("the rule held");
      return 0;
    }
    group.violations.forEach(violation -> record.line("BROKEN " + violation));
    group.violations.stream()
        .limit(PRINTED_VIOLATIONS)
        .forEach(violation -> System.out.println("BROKEN " + violation));
    System.out.println("violations: " + group.violations.size());
    return 1;
  }

  private void endProcesses() {
    gateways.forEach(Gateway::end);
  }

  @Override
  public void close() {
    stopping = true;
    endProcesses();
    group.close();
    store.close();
    record.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + folder);
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      System.err.println("cannot delete the temporary folder: " + e.getMessage());
    }
  }
}
