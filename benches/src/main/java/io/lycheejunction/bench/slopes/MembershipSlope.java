package io.lycheejunction.bench.slopes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.ProcessUsage;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.membership.MembershipEvent;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.configuration.AppliedLog;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.membership.HeartbeatExchange;
import io.lycheejunction.proxy.membership.Membership;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** Measures the memory, CPU time and messages of heartbeats by fleet size, without sockets. */
final class MembershipSlope implements Slope {
  private static final int SAMPLED_NODES = 50;
  private static final long MEASUREMENT_MS = 300;
  private static final int FAILURE_DOMAINS = 6;
  private static final double MS_PER_SECOND = 1_000;

  private final RuntimeClock clock;
  private final UnavailableStore store;

  MembershipSlope(RuntimeClock clock, UnavailableStore store) {
    this.clock = clock;
    this.store = store;
  }

  @Override
  public String name() {
    return "role=membership driver=peers";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(7, 100, 710);
  }

  @Override
  public List<Figure> measure(int size) {
    final long heapBytes = heapBytes(size);
    MessageCounter messageCounter = new MessageCounter();
    List<HeartbeatExchange> fleet = fleet(size, messageCounter);
    int sampled = Math.min(size, SAMPLED_NODES);
    ProcessUsage before = ProcessUsage.now();
    final long untilMs = clock.monotonicMs() + MEASUREMENT_MS;
    while (clock.monotonicMs() < untilMs) {
      fleet.subList(0, sampled).forEach(HeartbeatExchange::runRound);
    }
    double cpuMicros = ProcessUsage.now().cpuMicrosSince(before);
    double exchanges = messageCounter.messages() / 2.0;
    // In each interval a proxy starts one exchange and on average answers one of another proxy.
    double startedPerSecond = MS_PER_SECOND / HeartbeatExchange.intervalMs(size);
    return List.of(
        new Figure("heap_bytes", heapBytes),
        new Figure("exchange_bytes", messageCounter.bytes() / exchanges),
        new Figure("exchange_cpu_us", cpuMicros / exchanges),
        new Figure("messages_per_s", 4 * startedPerSecond),
        new Figure("bytes_per_s", 2 * startedPerSecond * messageCounter.bytes() / exchanges),
        new Figure("cpu_us_per_s", startedPerSecond * cpuMicros / exchanges));
  }

  private long heapBytes(int size) {
    final long before = ProcessUsage.heapBytes();
    List<Vm> vms = vms(size);
    Membership membership =
        new Membership(vms.getFirst(), new AppliedLog(), clock, new Random(size));
    membership.apply(new MembershipEvent.VmListRead(vms));
    long after = ProcessUsage.heapBytes();
    Reference.reachabilityFence(membership);
    return after - before;
  }

  private static List<Vm> vms(int size) {
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      vms.add(
          new Vm(
              "vm-domain-%d-%d".formatted(i % FAILURE_DOMAINS, i),
              Vm.Kind.ENTRY,
              "domain-" + i % FAILURE_DOMAINS,
              "10.%d.%d.%d:7101".formatted(i % FAILURE_DOMAINS, i / 250, i % 250),
              false));
    }
    return vms;
  }

  private List<HeartbeatExchange> fleet(int size, MessageCounter messageCounter) {
    List<Vm> vms = vms(size);
    Map<String, PeerRoutes> routes = new ConcurrentHashMap<>();
    PeerTransport transport = new LoopbackTransport(routes, messageCounter);
    List<HeartbeatExchange> fleet = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      AppliedLog applied = new AppliedLog();
      Membership membership = new Membership(vms.get(i), applied, clock, new Random(i));
      membership.apply(new MembershipEvent.VmListRead(vms));
      PeerRoutes ownRoutes = new PeerRoutes();
      ConfigurationLog log = new ConfigurationLog(store, store, applied);
      fleet.add(new HeartbeatExchange(membership, log, transport, ownRoutes, List.of()));
      routes.put(vms.get(i).address(), ownRoutes);
    }
    return fleet;
  }

  /** Serialises messages and passes them to the routes registered for the address of the peer. */
  private record LoopbackTransport(Map<String, PeerRoutes> routes, MessageCounter messageCounter)
      implements PeerTransport {
    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      String request = Json.write(message);
      String answer = routes.get(peer.address()).handle(path, request);
      messageCounter.countExchange(request, answer);
      return Json.read(answer, JsonNode.class).flatMap(node -> readReply(node, replyType));
    }

    private static <T> Result<T> readReply(JsonNode envelope, Class<T> replyType) {
      try {
        return Result.success(Json.MAPPER.treeToValue(envelope.get("reply"), replyType));
      } catch (JsonProcessingException e) {
        return Result.failure(ResultCode.UNKNOWN_OUTCOME, e.getOriginalMessage());
      }
    }
  }
}
