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

  /** One commit: the ids of the requests that wrote, and the values by item. */
  record Commit(long term, long number, List<String> ids, Map<String, String> writes, long atMs) {}

  private final Record record;
  private final Store store;
  private final String service;
  private final long promoteMs;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final java.util.Set<String> reached = java.util.concurrent.ConcurrentHashMap.newKeySet();

  Group(Record record, Store store, String service, long promoteMs) {
    this.record = record;
    this.store = store;
    this.service = service;
    this.promoteMs = promoteMs;
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

  private synchronized void takeEffect(String id) {
    Instance chosen = instances.get(id);
    if (chosen.isPrimary()) {
      record.line("platform", id + " is the primary already");
      return;
    }
    long term = newestTerm() + 1;
    for (Instance instance : instances.values()) {
      if (instance != chosen) {
        instance.follow(chosen, term);
      }
    }
    chosen.lead(term);
    record.line("platform", id + " leads term " + term + " with " + chosen.received() + " commits");
    instances.values().stream().filter(i -> !i.isDark()).forEach(this::register);
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
