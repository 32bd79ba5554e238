import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary crashes; the instance that is promoted in its place crashes too as soon as it leads, and
 * is back a moment later with its log, as the primary. The case counts writes that were committed at
 * a primary after a promotion had replaced it, and that were acknowledged.
 */
final class SuccessorCrash {
  private static final long PROMOTE_MS = 1_000;
  private static final long FIRST_DOWN_MS = 7_000;
  private static final long SECOND_DOWN_MS = 500;
  private static final long OBSERVED_MS = 10_000;
  private static final long PACE_MS = 8;
  private static final int CLIENTS_PER_VM = 4;

  /** The exit status for a broken rule; the JVM uses 1 for its own errors. */
  private static final int BROKEN = 10;

  private SuccessorCrash() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status;
    try (Site site =
        new Site(Path.of(args[0]), PROMOTE_MS, false, (holder, token, service, id) -> {})) {
      status = run(site, trouble);
      site.record.line("case", "exit status " + status);
    }
    System.exit(status);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    site.group.setReplacedGoesOn(true);
    if (!site.start()) {
      return 2;
    }
    Thread.sleep(5_000);
    Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    AtomicBoolean running = new AtomicBoolean(true);
    AtomicInteger promotions = new AtomicInteger();
    for (Node node : site.nodes) {
      for (int i = 0; i < CLIENTS_PER_VM; i++) {
        String name = "client-" + node.name() + "-" + i;
        Thread.startVirtualThread(() -> write(site, node, name, running, acknowledged));
      }
    }
    Thread.sleep(1_000);
    site.group.setOnPromoted(
        id -> {
          if (promotions.incrementAndGet() == 1) {
            crash(site, id, SECOND_DOWN_MS);
          }
        });
    if (trouble) {
      crash(site, "i-1", FIRST_DOWN_MS);
    }
    Thread.sleep(OBSERVED_MS);
    running.set(false);
    Thread.sleep(1_500);
    int broken = 0;
    for (String id : acknowledged) {
      if (site.group.isCommittedAtReplaced(id)) {
        broken++;
        site.record.line("case", "BROKEN: " + id + " was acknowledged, committed at a replaced primary");
      }
    }
    Set<String> kept = site.group.committedIds().keySet();
    long lost = acknowledged.stream().filter(id -> !kept.contains(id)).count();
    site.record.line("case", lost + " acknowledged writes are not in the log of the last primary");
    site.record.line(
        "case",
        promotions + " promotions, " + acknowledged.size() + " writes acknowledged, " + broken
            + " of them committed at a replaced primary");
    if (acknowledged.isEmpty() || trouble && promotions.get() == 0) {
      return 2;
    }
    return broken > 0 ? BROKEN : 0;
  }

  private static void crash(Site site, String id, long downMs) {
    Instance instance = site.group.instance(id);
    instance.crash();
    Thread.startVirtualThread(
        () -> {
          try {
            Thread.sleep(Math.min(downMs, Site.HEARTBEATS_LAPSE_MS));
            if (downMs > Site.HEARTBEATS_LAPSE_MS) {
              site.store.remove("servers", id);
              Thread.sleep(downMs - Site.HEARTBEATS_LAPSE_MS);
            }
            instance.restart();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } catch (IOException e) {
            site.record.line(id, "cannot start again: " + e.getMessage());
          }
        });
  }

  private static void write(
      Site site, Node node, String name, AtomicBoolean running, Set<String> acknowledged) {
    while (running.get()) {
      try (Client client = new Client(site.record, name, node.ip(), node.front(), Site.LATEST)) {
        while (running.get()) {
          String id = Client.nextId();
          Client.Reply reply = client.query(id, "WRITE item-" + name + " " + id);
          if (reply.isOk()) {
            acknowledged.add(id);
          }
          if (reply.isClosed()) {
            break;
          }
          Thread.sleep(PACE_MS);
        }
      } catch (IOException e) {
        site.record.line(name, "has no session: " + e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
