package io.lycheejunction.standin;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.ModelLimits;
import io.lycheejunction.standin.model.PlatformModel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The database groups and the servers of their instances. */
final class Groups {

  /**
   * The description of a group that is returned as JSON.
   *
   * @param name the name of the group
   * @param slots the number of statements that one instance runs concurrently
   * @param connections the number of sessions that one instance allows
   * @param targets the instances; the first starts as the primary
   */
  record Listing(String name, int slots, int connections, List<TargetSpec> targets) {}

  private final Network network;
  private final PlatformModel platform;
  private final InetAddress ip;
  private final ProbeLoss probeLoss;
  private final Map<String, GroupModel> models = new LinkedHashMap<>();
  private final Map<String, InstanceServer> servers = new LinkedHashMap<>();
  private final List<Listing> listings = new ArrayList<>();
  private int nextPort;

  Groups(
      Network network, PlatformModel platform, InetAddress ip, int firstPort, ProbeLoss probeLoss) {
    this.network = network;
    this.platform = platform;
    this.ip = ip;
    this.nextPort = firstPort;
    this.probeLoss = probeLoss;
  }

  /** Creates a group and spreads its instances over the failure domains round-robin. */
  synchronized Listing create(GroupSettings settings) {
    if (models.containsKey(settings.name())) {
      throw new IllegalArgumentException("group already exists: " + settings.name());
    }
    Map<TargetSpec, Endpoint> endpoints = new LinkedHashMap<>();
    for (int i = 0; i < settings.instances(); i++) {
      String domain = network.domains().get(i % network.domains().size());
      Endpoint endpoint = new Endpoint(new InetSocketAddress(ip, allocatePort()));
      String name = settings.name() + "-" + (i + 1);
      endpoints.put(new TargetSpec(name, domain, endpoint.address()), endpoint);
    }
    List<TargetSpec> targets = List.copyOf(endpoints.keySet());
    GroupModel model = createModel(settings, targets);
    endpoints.forEach((target, endpoint) -> startInstance(settings, model, target, endpoint));
    Listing listing =
        new Listing(settings.name(), settings.slots(), settings.connections(), targets);
    listings.add(listing);
    return listing;
  }

  /** Returns the next fixed port, or 0 for any free port if no first port is configured. */
  private int allocatePort() {
    return nextPort == 0 ? 0 : nextPort++;
  }

  private GroupModel createModel(GroupSettings settings, List<TargetSpec> targets) {
    ModelLimits limits =
        new ModelLimits(
            settings.slots(), settings.connections(), settings.connectMs(), settings.executeMs());
    GroupModel model =
        new GroupModel(settings.name(), targets, limits, network.links(), network.clock());
    targets.forEach(
        target -> model.faults().setReplicaLagMs(target.name(), settings.replicaLagMs()));
    models.put(settings.name(), model);
    return model;
  }

  private void startInstance(
      GroupSettings settings, GroupModel model, TargetSpec target, Endpoint endpoint) {
    InstanceServer server =
        new InstanceServer(network, model, target, settings.slots(), endpoint, probeLoss);
    servers.put(target.name(), server);
    server.start();
    platform.putVm(
        new Vm(target.name(), Vm.Kind.TARGET, target.failureDomain(), target.address(), false));
  }

  synchronized List<Listing> list() {
    return List.copyOf(listings);
  }

  synchronized Optional<GroupModel> group(String name) {
    return Optional.ofNullable(models.get(name));
  }

  /** Returns the group of an instance. */
  synchronized GroupModel groupOf(String target) {
    return models.values().stream()
        .filter(model -> model.containsTarget(target))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown target " + target));
  }

  /** Returns the server of an instance. */
  synchronized InstanceServer server(String target) {
    InstanceServer server = servers.get(target);
    if (server == null) {
      throw new IllegalArgumentException("unknown target " + target);
    }
    return server;
  }

  synchronized void close() {
    servers.values().forEach(InstanceServer::close);
  }
}
