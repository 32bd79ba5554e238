import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The instances of one service. The primary's commits reach each replica after a delay; a promotion
 * takes effect some time after it was ordered, with what the promoted instance has received then.
 */
final class Group {

  /** The time until a change of role is in the store: two ways of 3.4 ms and 4 ms there. */
  private static final long REPORT_MS = 11;

  /** How long a replaced primary goes on where it can reach the new one, in milliseconds. */
  private static final long GOES_ON_MS = 1_000;

  /** One commit: the ids of the requests that wrote, and the values by item. */
  record Commit(long term, long number, List<String> ids, Map<String, String> writes, long atMs) {}

  private final Record record;
  private final Store store;
  private final String service;
  private final long promoteMs;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final java.util.Set<String> reached = java.util.concurrent.ConcurrentHashMap.newKeySet();

  private final java.util.Set<String> committedAtReplaced =
      java.util.concurrent.ConcurrentHashMap.newKeySet();
  private volatile java.util.function.Consumer<String> onPromoted = id -> {};
  private boolean replacedGoesOn;
  private Instance leader;

  Group(Record record, Store store, String service, long promoteMs) {
    this.record = record;
    this.store = store;
    this.service = service;
    this.promoteMs = promoteMs;
  }

  /** Sets whether a replaced primary goes on for a second or until it is told to step down. */
  synchronized void setReplacedGoesOn(boolean goesOn) {
    replacedGoesOn = goesOn;
  }

  /** Sets what runs right after each promotion has taken effect, with the id of the new primary. */
  void setOnPromoted(java.util.function.Consumer<String> listener) {
    onPromoted = listener;
  }

  String service() {
    return service;
  }

  Record record() {
    return record;
  }

  /** Records that a request has reached an instance. */
  void recordReached(String requestId) {
    reached.add(requestId);
  }

  boolean reached(String requestId) {
    return reached.contains(requestId);
  }

  synchronized void add(Instance instance) {
    instances.put(instance.id(), instance);
    if (instance.isPrimary()) {
      leader = instance;
    }
    register(instance);
  }

  synchronized Instance instance(String id) {
    return instances.get(id);
  }

  synchronized List<Instance> all() {
    return new ArrayList<>(instances.values());
  }

  synchronized long newestTerm() {
    return instances.values().stream().mapToLong(Instance::term).max().orElse(1);
  }

  synchronized boolean canPromote(String id) {
    Instance instance = instances.get(id);
    return instance != null && !instance.isDark();
  }

  void promote(String id) {
    Thread.startVirtualThread(
        () -> {
          try {
            Thread.sleep(promoteMs);
          } catch (InterruptedException e) {
            return;
          }
          takeEffect(id);
        });
  }

  private void takeEffect(String id) {
    synchronized (this) {
      Instance chosen = instances.get(id);
      if (chosen == leader) {
        record.line("platform", id + " is the primary already");
        return;
      }
      long term = newestTerm() + 1;
      Instance replaced = leader;
      leader = chosen;
      for (Instance instance : instances.values()) {
        boolean goesOn = replacedGoesOn && instance == replaced && !instance.isDark();
        if (instance != chosen && !goesOn) {
          instance.follow(chosen, term);
        }
      }
      chosen.lead(term);
      record.line(
          "platform", id + " leads term " + term + " with " + chosen.received() + " commits");
      if (replacedGoesOn && !replaced.isDark()) {
        Thread.startVirtualThread(() -> stepDownLater(replaced));
      }
    }
    List<Instance> reporting = all().stream().filter(instance -> !instance.isDark()).toList();
    Thread.startVirtualThread(() -> report(reporting));
    onPromoted.accept(id);
  }

  /** The instances report their roles; the report takes the way to the store and its answer. */
  private void report(List<Instance> reporting) {
    try {
      Thread.sleep(REPORT_MS);
    } catch (InterruptedException e) {
      return;
    }
    reporting.forEach(this::register);
  }

  private void stepDownLater(Instance replaced) {
    try {
      Thread.sleep(GOES_ON_MS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      if (replaced != leader && replaced.isPrimary()) {
        replaced.follow(leader, leader.term());
        register(replaced);
      }
    }
  }

  /** Makes a primary of a lower term a replica. */
  synchronized void demote(Instance instance, long term) {
    if (instance.isPrimary() && instance.term() < term) {
      if (instance == leader) {
        instance.stepDown();
      } else {
        instance.follow(leader, leader.term());
      }
      register(instance);
    }
  }

  /** Makes an instance that was replaced while it was down a replica. */
  synchronized void onRestarted(Instance instance) {
    if (instance != leader) {
      instance.follow(leader, leader.term());
    }
  }

  /** Records a commit, and whether it was made at a primary that a promotion had replaced. */
  synchronized void recordCommit(Instance instance, List<String> ids) {
    if (instance != leader) {
      committedAtReplaced.addAll(ids);
      record.line(instance.id(), "was replaced before it commits " + ids);
    }
  }

  boolean isCommittedAtReplaced(String requestId) {
    return committedAtReplaced.contains(requestId);
  }

  /** Writes the registration of an instance, unless it is dark. */
  synchronized void register(Instance instance) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("backend", service);
    entry.put("address", instance.registeredAddress());
    entry.put("zone", instance.zone());
    entry.put("version", "v1");
    entry.put("slots", 3);
    entry.put("state", "ready");
    entry.put("cold-remaining-ms", 0);
    entry.put("db-role", instance.isPrimary() ? "primary" : "replica");
    entry.put("seq", instance.nextSequence());
    entry.put("born", instance.bornMs());
    store.put("servers", instance.id(), Json.write(entry));
  }

  /** Returns how often the write of each request is in the log of the primary. */
  synchronized Map<String, Integer> committedIds() {
    Map<String, Integer> ids = new HashMap<>();
    instances.values().stream()
        .filter(Instance::isPrimary)
        .max(java.util.Comparator.comparingLong(Instance::term))
        .ifPresent(
            primary ->
                primary.log().forEach(c -> c.ids().forEach(id -> ids.merge(id, 1, Integer::sum))));
    return ids;
  }
}
