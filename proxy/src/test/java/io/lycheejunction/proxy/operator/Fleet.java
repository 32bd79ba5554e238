package io.lycheejunction.proxy.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.supervisor.Drainable;
import io.lycheejunction.standin.model.FaultInjector;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.ModelPlatformClient;
import io.lycheejunction.standin.model.PlatformModel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** The control planes of several proxies on a modelled platform, all run by the test's thread. */
final class Fleet {
  static final String CREATE_GROUP =
      "create group orders targets (a1 in ikeja at 10.1.0.1:1, a2 in lekki at 10.1.0.2:1,"
          + " a3 in apapa at 10.1.0.3:1) slots 3 connections 20";
  private static final long ROUND_MS = 1_000;
  private static final long POLLS_PER_ROUND = 4;

  final ManualClock clock = ManualClock.advancing();
  final PlatformModel platform = new PlatformModel();
  final Links links = new Links(0);
  final Map<String, Node> nodes = new TreeMap<>();
  private final FaultInjector faults;
  private int seed;

  Fleet(FaultInjector faults) {
    this.faults = faults;
  }

  static Fleet of(FaultInjector faults) {
    Fleet fleet = new Fleet(faults);
    fleet.startListed("vm-a", "ikeja");
    fleet.startListed("vm-b", "lekki");
    fleet.startListed("vm-c", "apapa");
    fleet.nodes.values().forEach(node -> node.control().vmListPoll().poll());
    return fleet;
  }

  /** One proxy. */
  record Node(
      Vm vm,
      PeerRoutes routes,
      ControlPlane control,
      OperatorEndpoint operator,
      GracefulShutdown shutdown) {
    long version() {
      return control.appliedLog().current().version();
    }

    OperatorReply run(String command) {
      return run(command, Optional.empty(), false);
    }

    OperatorReply run(String command, Optional<String> changeId, boolean awaitRollout) {
      return operator.answer(
          new OperatorRequest(command, Optional.empty(), changeId, false, awaitRollout));
    }
  }

  /** Starts a proxy and adds its VM to the platform's list. */
  Node startListed(String name, String domain) {
    Node node = start(name, domain, List.of(), List.of());
    platform.putVm(node.vm());
    return node;
  }

  /** Starts a proxy, which replaces a proxy of the same name. */
  Node start(String name, String domain, List<String> seeds, List<Drainable> parts) {
    Vm vm = new Vm(name, Vm.Kind.ENTRY, domain, address(name), false);
    PeerRoutes routes = new PeerRoutes();
    ModelPlatformClient modelPlatform =
        new ModelPlatformClient(domain, platform, links, faults, clock);
    ControlPlane.Ports ports =
        new ControlPlane.Ports(
            modelPlatform, modelPlatform, modelPlatform, new DirectTransport(domain), routes);
    seed++;
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ControlPlane control = new ControlPlane(vm, seeds, ports, clock, random);
    GracefulShutdown shutdown = control.shutdown(parts);
    OperatorEndpoint operator =
        control.operator(
            new ShowTables(),
            new NoGroups(),
            (group, target) -> Result.success(target + " promoted"),
            shutdown,
            ControlPlane.idGenerator(random));
    Node node = new Node(vm, routes, control, operator, shutdown);
    nodes.put(name, node);
    return node;
  }

  /**
   * Returns an address of its own for a numbered name; other names share an address if they have
   * the same first letter after {@code vm-}, as {@code vm-b} and {@code vm-bb} do.
   */
  private static String address(String name) {
    String suffix = name.substring(3);
    return suffix.matches("\\d+") ? "10.0.1." + suffix + ":1" : "10.0.0." + suffix.charAt(0) + ":1";
  }

  Node node(String name) {
    return nodes.get(name);
  }

  /** Runs the periodic steps of one second on every proxy. */
  void round() {
    for (Node node : List.copyOf(nodes.values())) {
      node.control().heartbeats().runRound();
      node.control().vmListPoll().poll();
      for (int i = 0; i < POLLS_PER_ROUND; i++) {
        node.control().configurationLog().poll();
      }
    }
    clock.advanceMs(ROUND_MS);
  }

  List<Long> versions() {
    return nodes.values().stream().map(Node::version).toList();
  }

  int rows() {
    return platform.rows(ConfigurationLog.TABLE, "", 10_000).size();
  }

  /** Delivers messages as JSON by direct calls of the receiver's handlers. */
  private final class DirectTransport implements PeerTransport {
    private final String domain;

    DirectTransport(String domain) {
      this.domain = domain;
    }

    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      Optional<Node> node =
          nodes.values().stream()
              .filter(candidate -> candidate.vm().address().equals(peer.address()))
              .findFirst();
      if (node.isEmpty()) {
        return Result.failure(ResultCode.PEER_UNREACHABLE, "nothing at " + peer.address());
      }
      if (links.isCut(domain, node.get().vm().failureDomain())) {
        clock.advanceMs(timeoutMs);
        return Result.failure(ResultCode.UNKNOWN_OUTCOME, "cut");
      }
      return decodeReply(node.get().routes().handle(path, Json.write(message)), replyType);
    }

    private <T> Result<T> decodeReply(String text, Class<T> replyType) {
      JsonNode envelope = Json.read(text, JsonNode.class).getOrElse(Json.MAPPER.nullNode());
      return envelope.get("fault").isNull()
          ? Json.read(envelope.get("reply").toString(), replyType)
          : Json.read(envelope.get("fault").toString(), Fault.class).flatMap(Result::failure);
    }
  }
}
