import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiPredicate;

/**
 * The instances of one service with their logs, as the page on what is spoken has them: the
 * primary ships each commit to the replicas, which receive it after the delay of the network and
 * apply it later. All state is guarded by the lock.
 */
final class Group {
  /** A commit: the ids of the requests that it stems from and what they wrote, by item. */
  record Entry(long term, long number, List<String> ids, Map<String, String> writes, long atMs) {}

  /** What was committed under an id, and what was promised to its client. */
  record Acked(String id, long term, long number, double atS) {}

  static final long HEARTBEAT_MS = 1_200;

  final ReentrantLock lock = new ReentrantLock();
  final String service;
  final int syncReplicas;
  final long promoteMs;
  final int maxConnections;
  final int slots;
  final Store store;
  final Record record;
  final Map<String, Instance> instances = new HashMap<>();
  final Map<String, Acked> acked = new ConcurrentHashMap<>();
  final Set<String> ackedToClients = ConcurrentHashMap.newKeySet();
  final List<String> violations = new ArrayList<>();

  /** The ids of the requests that have reached an instance. */
  final Set<String> seen = ConcurrentHashMap.newKeySet();

  /** Whether the link between a VM and an instance is cut. */
  volatile BiPredicate<String, Instance> cut = (vm, instance) -> false;

  Instance leader;
  boolean demoted;
  long term = 1;
  long highestToken;
  String highestHolder = "";
  int promotions;
  private volatile boolean closed;

  Group(
      String service,
      int syncReplicas,
      long promoteMs,
      int maxConnections,
      int slots,
      Store store,
      Record record) {
    this.service = service;
    this.syncReplicas = syncReplicas;
    this.promoteMs = promoteMs;
    this.maxConnections = maxConnections;
    this.slots = slots;
    this.store = store;
    this.record = record;
    Thread.startVirtualThread(this::heartbeats);
  }

  void addViolation(String text) {
    lock.lock();
    try {
      violations.add(text);
    } finally {
      lock.unlock();
    }
  }

  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Adds an instance; the first one leads. */
  Instance add(String id, String ip, String zone, long networkMs, long applyMs) throws IOException {
    Instance instance = new Instance(this, id, ip, zone, networkMs, applyMs);
    lock.lock();
    try {
      instances.put(id, instance);
      if (leader == null) {
        leader = instance;
      }
      instance.knownTerm = term;
    } finally {
      lock.unlock();
    }
    instance.start();
    return instance;
  }

  boolean isLeader(Instance instance) {
    return instance == leader && !demoted && instance.up;
  }

  /** Lets a replica receive what has reached it by now. */
  void advance(Instance replica) {
    if (replica == leader || !replica.up || replica.deaf || replica.heldTerm > 0) {
      return;
    }
    if (!leader.up && !replica.receivedUntilCrash) {
      return;
    }
    long arrivedMs = nowMs() - replica.networkMs;
    while (replica.log.size() < leader.log.size()
        && leader.log.get(replica.log.size()).atMs() <= arrivedMs) {
      replica.log.add(leader.log.get(replica.log.size()));
    }
  }

  /** Commits at the leader and returns the entry, or null if the instance does not lead. */
  Entry append(Instance instance, List<String> ids, Map<String, String> writes) {
    lock.lock();
    try {
      if (!isLeader(instance)) {
        return null;
      }
      Entry entry =
          new Entry(term, instance.log.size() + 1L, List.copyOf(ids), Map.copyOf(writes), nowMs());
      instance.log.add(entry);
      record.line("commit " + entry.term() + "." + entry.number() + " at " + instance.id + " " + ids);
      return entry;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until so many replicas have received a commit and their acknowledgement is back; returns
   * false if the instance lost the lead or ended before.
   */
  boolean awaitSync(Instance instance, Entry entry) throws InterruptedException {
    if (syncReplicas == 0) {
      return true;
    }
    while (true) {
      lock.lock();
      try {
        if (leader != instance || !instance.up) {
          return false;
        }
        int received = 0;
        for (Instance replica : instances.values()) {
          if (replica == leader) {
            continue;
          }
          advance(replica);
          boolean has = replica.up && replica.log.size() >= entry.number();
          if (has && nowMs() >= entry.atMs() + 2 * replica.networkMs) {
            received++;
          }
        }
        if (received >= syncReplicas) {
          for (String id : entry.ids()) {
            acked.put(id, new Acked(id, entry.term(), entry.number(), record.seconds()));
          }
          return true;
        }
      } finally {
        lock.unlock();
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  /** The platform's call: returns the status, and carries the promotion out a little later. */
  int promote(String id, String holder, long token) {
    lock.lock();
    try {
      Instance chosen = instances.get(id);
      record.say("promote " + id + " token=" + token + " holder=" + holder);
      if (token == highestToken && !holder.equals(highestHolder)) {
        violations.add("ONE: two holders promote with the token " + token);
      }
      if (token < highestToken || chosen == null || !chosen.up) {
        record.say("promote " + id + " refused with 409");
        return 409;
      }
      highestToken = token;
      highestHolder = holder;
      if (isLeader(chosen)) {
        return 200;
      }
    } finally {
      lock.unlock();
    }
    Thread.startVirtualThread(() -> finishPromotion(id));
    return 200;
  }

  private void finishPromotion(String id) {
    try {
      TimeUnit.MILLISECONDS.sleep(promoteMs);
    } catch (InterruptedException e) {
      return;
    }
    lock.lock();
    try {
      Instance chosen = instances.get(id);
      if (!chosen.up || isLeader(chosen)) {
        return;
      }
      instances.values().forEach(this::advance);
      checkLost(chosen);
      for (Instance other : instances.values()) {
        int common = 0;
        while (common < Math.min(other.log.size(), chosen.log.size())
            && other.log.get(common) == chosen.log.get(common)) {
          common++;
        }
        if (other != chosen && other.up) {
          other.log.subList(common, other.log.size()).clear();
        }
        other.heldTerm = 0;
      }
      term++;
      leader = chosen;
      demoted = false;
      promotions++;
      instances.values().stream().filter(i -> i.up).forEach(i -> i.knownTerm = term);
      record.say("promoted " + id + " to term " + term + " with " + chosen.log.size() + " commits");
      instances.values().stream().filter(i -> i.up).forEach(Instance::register);
    } finally {
      lock.unlock();
    }
  }

  /** Rule LOST: an acknowledged commit is not in the log of the instance that is promoted. */
  private void checkLost(Instance chosen) {
    if (syncReplicas == 0) {
      return;
    }
    Set<String> kept = ConcurrentHashMap.newKeySet();
    chosen.log.forEach(entry -> kept.addAll(entry.ids()));
    List<String> lost = new ArrayList<>();
    for (Acked commit : acked.values()) {
      if (ackedToClients.contains(commit.id()) && !kept.contains(commit.id())) {
        lost.add(commit.id() + "@" + commit.term() + "." + commit.number());
      }
    }
    if (!lost.isEmpty()) {
      violations.add(
          "LOST: " + lost.size() + " acknowledged commits are not in the log of " + chosen.id);
      record.line("LOST " + lost);
    }
  }

  private void heartbeats() {
    try {
      while (!closed) {
        TimeUnit.MILLISECONDS.sleep(100);
        lock.lock();
        try {
          for (Instance instance : instances.values()) {
            instance.beat();
          }
        } finally {
          lock.unlock();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void close() {
    closed = true;
    instances.values().forEach(Instance::end);
  }
}
