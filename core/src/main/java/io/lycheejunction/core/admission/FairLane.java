package io.lycheejunction.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A queue that serves services by weight, and the entry proxies of one service in turn.
 *
 * <p>Each service has a virtual time that grows by the inverse of its weight with each served
 * request; the service with the lowest one is next. Not safe for concurrent use.
 *
 * @param <T> the type of the queued items
 */
final class FairLane<T> {

  private static final class Flow<T> {
    private final LinkedHashMap<String, Deque<T>> byEntryVm = new LinkedHashMap<>();
    private double virtualTime;
    private int weight = 1;
    private int size;
  }

  private final Map<String, Flow<T>> flows = new LinkedHashMap<>();
  private double virtualTime;
  private int size;

  void add(Ask ask, T item) {
    Flow<T> flow = flows.get(ask.service());
    if (flow == null) {
      flow = new Flow<>();
      flow.virtualTime = virtualTime;
      flows.put(ask.service(), flow);
    }
    flow.weight = ask.weight();
    flow.byEntryVm.computeIfAbsent(ask.entryVm(), vm -> new ArrayDeque<>()).addLast(item);
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
    T item = pollInTurn(flow);
    shrink(next.get().getKey(), flow);
    return Optional.of(item);
  }

  private T pollInTurn(Flow<T> flow) {
    Map.Entry<String, Deque<T>> first = flow.byEntryVm.pollFirstEntry();
    T item = first.getValue().pollFirst();
    if (!first.getValue().isEmpty()) {
      flow.byEntryVm.put(first.getKey(), first.getValue());
    }
    return item;
  }

  /** Returns the newest item of the service that uses most for its weight, which is removed. */
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
    shrink(largest.get().getKey(), flow);
    return Optional.of(item);
  }

  boolean remove(Ask ask, T item) {
    Flow<T> flow = flows.get(ask.service());
    Deque<T> queue = flow == null ? null : flow.byEntryVm.get(ask.entryVm());
    if (queue == null || !queue.remove(item)) {
      return false;
    }
    if (queue.isEmpty()) {
      flow.byEntryVm.remove(ask.entryVm());
    }
    shrink(ask.service(), flow);
    return true;
  }

  /** Returns whether one more item would leave the service below the largest use. */
  boolean isBelowLargest(Ask ask) {
    Flow<T> own = flows.get(ask.service());
    double ownLoad = ((own == null ? 0 : own.size) + 1.0) / ask.weight();
    return flows.values().stream().anyMatch(flow -> load(flow) > ownLoad);
  }

  /** Returns how many items are expected to be served before one more of the service. */
  long ahead(Ask ask) {
    Flow<T> own = flows.get(ask.service());
    long ownSize = own == null ? 0 : own.size;
    double rounds = (ownSize + 1.0) / ask.weight();
    double others = 0;
    for (Map.Entry<String, Flow<T>> entry : flows.entrySet()) {
      if (!entry.getKey().equals(ask.service())) {
        Flow<T> flow = entry.getValue();
        others += Math.min(flow.size, rounds * flow.weight);
      }
    }
    return ownSize + (long) others;
  }

  int size() {
    return size;
  }

  private void shrink(String service, Flow<T> flow) {
    size--;
    flow.size--;
    if (flow.size == 0) {
      flows.remove(service);
    }
  }

  private static double load(Flow<?> flow) {
    return (double) flow.size / flow.weight;
  }
}
