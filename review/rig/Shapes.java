import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients prepare a statement, execute it and give it up again, each time with another text, while
 * the settings files change. The check: no request is cut around a SIGHUP.
 */
final class Shapes {
  private static final int SHAPE_BYTES = 60_000;
  private static final int SESSIONS = 2;
  private static final long PAUSE_MS = 60;
  private static final long LENGTH_MS = 50_000;
  private static final long HUP_EVERY_MS = 5_000;

  /** How many VMs get a SIGHUP each time, in turn: at most 0.6 of them, over 2 s. */
  private static final int HUP_VMS = 4;

  private static final long HUP_GAP_MS = 500;
  private static final long CONFIG_APPLY_MS = 3_000;
  private static final long LOSS_SLACK_MS = 200;
  private static final Map<String, Long> TIMEOUT_MS =
      Map.of(Site.PRIMARY, 1_000L, Site.BOUNDED, 2_000L, Site.OWN, 1_000L);

  private final Site site;
  private final boolean trouble;
  private final AtomicLong shapes = new AtomicLong();
  private final AtomicInteger cut = new AtomicInteger();
  private final Map<String, Queue<Long>> hups = new ConcurrentHashMap<>();

  private Shapes(Site site, boolean trouble) {
    this.site = site;
    this.trouble = trouble;
  }

  static int run(Path root, Path folder, boolean trouble) throws IOException, InterruptedException {
    Site.Sheet sheet =
        new Site.Sheet(
            List.of("sapporo", "asahikawa", "hakodate"), List.of(3, 2, 2), true, 0, 5, 55, 300);
    try (Site site = new Site(root, folder, sheet)) {
      site.group.add("i-1", site.net + "4.1", "sapporo", 5, 20);
      site.group.add("i-2", site.net + "4.2", "asahikawa", 5, 20);
      site.group.add("i-3", site.net + "4.3", "hakodate", 5, 20);
      site.configure(7);
      site.startGateways();
      return new Shapes(site, trouble).play();
    }
  }

  private int play() throws IOException, InterruptedException {
    for (String database : List.of(Site.PRIMARY, Site.BOUNDED, Site.OWN)) {
      site.load(database, SESSIONS, PAUSE_MS, (client, gateway) -> use(client, gateway, database));
    }
    long endMs = Group.nowMs() + LENGTH_MS;
    int changes = 0;
    while (Group.nowMs() < endMs) {
      site.sleepMs(HUP_EVERY_MS);
      changes++;
      for (int i = 0; i < HUP_VMS; i++) {
        Gateway gateway = site.gateways.get((changes * HUP_VMS + i) % site.gateways.size());
        Files.writeString(
            gateway.settings(),
            Files.readString(gateway.settings()) + "# change " + changes + "\n");
        gateway.signal("HUP");
        hups.computeIfAbsent(gateway.vm, vm -> new ConcurrentLinkedQueue<>()).add(Group.nowMs());
        site.sleepMs(HUP_GAP_MS);
      }
    }
    site.stopClients();
    for (Gateway gateway : site.gateways) {
      if (!gateway.process().isAlive()) {
        site.record.say(gateway.vm + " has ended by itself");
      }
    }
    site.record.say("prepared " + shapes + " statements; connections cut: " + cut);
    return site.verdict();
  }

  private void use(Client client, Gateway gateway, String database) throws IOException {
    long number = shapes.incrementAndGet();
    String shape = "q" + (trouble ? number : 0) + "c".repeat(SHAPE_BYTES);
    if (ask(client, gateway, database, "PREPARE s1 READ " + shape).isDone()) {
      ask(client, gateway, database, "EXECUTE s1 1a4");
      ask(client, gateway, database, "DEALLOC s1");
    }
  }

  private Client.Answer ask(Client client, Gateway gateway, String database, String text)
      throws IOException {
    String id = site.nextId();
    String word = text.substring(0, Math.min(20, text.length()));
    site.record.line("sent " + gateway.vm + " " + id + " " + word + " (" + text.length() + " bytes)");
    long sentMs = Group.nowMs();
    try {
      Client.Answer answer = client.query(id, text);
      site.answered(gateway, id, answer);
      return answer;
    } catch (Client.Ended e) {
      onCut(gateway, database, id, word, sentMs, e);
      throw e;
    }
  }

  /** Rule LOST, for planned work that is a SIGHUP of the machine. */
  private void onCut(
      Gateway gateway, String database, String id, String word, long sentMs, Client.Ended end) {
    long cutMs = Group.nowMs();
    boolean passedOn = site.group.seen.contains(id);
    site.record.line(
        "answered " + gateway.vm + " " + id + " " + end.getMessage() + " after "
            + (cutMs - sentMs) + " ms, passed on to an instance: " + passedOn);
    cut.incrementAndGet();
    site.unknown.incrementAndGet();
    boolean aroundHup =
        hups.getOrDefault(gateway.vm, new ConcurrentLinkedQueue<>()).stream()
            .anyMatch(hupMs -> hupMs <= sentMs && sentMs <= hupMs + CONFIG_APPLY_MS);
    boolean timedOut = cutMs - sentMs >= TIMEOUT_MS.get(database);
    if (aroundHup && !timedOut && (passedOn || cutMs - sentMs > LOSS_SLACK_MS)) {
      site.group.addViolation(
          "LOST: " + id + " " + word + " at " + gateway.vm + " cut " + (cutMs - sentMs)
              + " ms after it was sent, passed on: " + passedOn);
    }
  }
}
