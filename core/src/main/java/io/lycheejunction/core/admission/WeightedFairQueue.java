package io.lycheejunction.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A weighted fair queue over services, which serves the entry proxies of one service round-robin.
 *
 * <p>Each service has a virtual time that grows by the inverse of its weight with each served item;
 * the service with the lowest virtual time is served next. Not safe for concurrent use.
 *
 * @param <T> the type of the queued items
 */
final class WeightedFairQueue<T> {

  private static final class Flow<T> {
    private final LinkedHashMap<String, Deque<T>> byEntryVm = new LinkedHashMap<>();
    private double virtualTime;
    private int weight = 1;
    private int size;
  }

  private final Map<String, Flow<T>> flows = new LinkedHashMap<>();
  private double virtualTime;
  private int size;

  void add(AdmissionRequest request, T item) {
    Flow<T> flow = flows.get(request.service());
    if (flow == null) {
      flow = new Flow<>();
      flow.virtualTime = virtualTime;
      flows.put(request.service(), flow);
    }
    flow.weight = request.weight();
    flow.byEntryVm.computeIfAbsent(request.entryVm(), vm -> new ArrayDeque<>()).addLast(item);
    flow.size++;
    size++;
  }

  Optional<T> poll() {
    Optional<Map.Entry<String, Flow<T>>> next =
        flows.entrySet().stream()
            .min(Comparator.comparingDouble(entry -> entry.getValue().virtualTime));
    if (next.isEmpty()) {
      return Optional.empty();
    }
    Flow<T> flow = next.get().getValue();
    virtualTime = flow.virtualTime;
    flow.virtualTime += 1.0 / flow.weight;
    T item = pollRoundRobin(flow);
    recordRemoval(next.get().getKey(), flow);
    return Optional.of(item);
  }

  private T pollRoundRobin(Flow<T> flow) {
    Map.Entry<String, Deque<T>> first = flow.byEntryVm.pollFirstEntry();
    T item = first.getValue().pollFirst();
    if (!first.getValue().isEmpty()) {
      flow.byEntryVm.put(first.getKey(), first.getValue());
    }
    return item;
  }

  /** Removes and returns the newest item of the service with the largest load. */
  Optional<T> evict() {
    Optional<Map.Entry<String, Flow<T>>> largest =
        flows.entrySet().stream().max(Comparator.comparingDouble(entry -> load(entry.getValue())));
    if (largest.isEmpty()) {
      return Optional.empty();
    }
    Flow<T> flow = largest.get().getValue();
    Map.Entry<String, Deque<T>> longest =
        flow.byEntryVm.entrySet().stream()
            .max(Comparator.comparingInt(entry -> entry.getValue().size()))
            .orElseThrow();
    T item = longest.getValue().pollLast();
    if (longest.getValue().isEmpty()) {
      flow.byEntryVm.remove(longest.getKey());
    }
    recordRemoval(largest.get().getKey(), flow);
    return Optional.of(item);
  }

  boolean remove(AdmissionRequest request, T item) {
    Flow<T> flow = flows.get(request.service());
    Deque<T> queue = flow == null ? null : flow.byEntryVm.get(request.entryVm());
    if (queue == null || !queue.remove(item)) {
      return false;
    }
    if (queue.isEmpty()) {
      flow.byEntryVm.remove(request.entryVm());
    }
    recordRemoval(request.service(), flow);
    return true;
  }

  /** Returns whether the service would stay below the largest load with one more item. */
  boolean isBelowLargestLoad(AdmissionRequest request) {
    Flow<T> own = flows.get(request.service());
    double ownLoad = ((own == null ? 0 : own.size) + 1.0) / request.weight();
    return flows.values().stream().anyMatch(flow -> load(flow) > ownLoad);
  }

  /** Returns how many queued items are expected to be served before a new item of the service. */
  long itemsAhead(AdmissionRequest request) {
    Flow<T> own = flows.get(request.service());
    long ownSize = own == null ? 0 : own.size;
    double rounds = (ownSize + 1.0) / request.weight();
    double othersAhead = 0;
    for (Map.Entry<String, Flow<T>> entry : flows.entrySet()) {
      if (!entry.getKey().equals(request.service())) {
        Flow<T> flow = entry.getValue();
        othersAhead += Math.min(flow.size, rounds * flow.weight);
      }
    }
    return ownSize + (long) othersAhead;
  }

  int size() {
    return size;
  }

  private void recordRemoval(String service, Flow<T> flow) {
    size--;
    flow.size--;
    if (flow.size == 0) {
      flows.remove(service);
    }
  }

  /** Returns the number of queued items in relation to the weight of the service. */
  private static double load(Flow<?> flow) {
    return (double) flow.size / flow.weight;
  }
}
