package io.lycheejunction.standin;

import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.PlatformModel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;

/** Simulated platform and database groups, served over HTTP until closed. */
public final class Standin implements AutoCloseable {
  private final Links links;
  private final PlatformModel platform = new PlatformModel();
  private final VmList vms;
  private final Groups groups;
  private final Faults faults;
  private final Endpoint endpoint;

  /**
   * Starts the platform and the groups.
   *
   * @param settings the addresses, failure domains and groups
   * @param clock the runtime clock
   * @throws UnknownHostException if the address to listen on is not an IP address
   */
  public Standin(StandinSettings settings, RuntimeClock clock) throws UnknownHostException {
    InetAddress ip = InetAddress.getByName(settings.ip());
    links = new Links(settings.domainDelayMs());
    Network network = new Network(settings.domains(), links, clock);
    vms = new VmList(network, platform, ip);
    ProbeLoss probeLoss = new ProbeLoss();
    groups = new Groups(network, platform, ip, settings.firstInstancePort(), probeLoss);
    faults = new Faults(links, platform, groups, probeLoss);
    settings.groups().forEach(groups::create);
    endpoint = new Endpoint(new InetSocketAddress(ip, settings.platformPort()));
    PlatformService service = new PlatformService(network, platform, vms);
    endpoint.start(new PlatformServer(service, platform, groups, faults, vms)::handle);
  }

  /**
   * Returns the address on which the platform is served.
   *
   * @return the address as {@code ip:port}
   */
  public String address() {
    return endpoint.address();
  }

  /**
   * Returns the simulated group.
   *
   * @param name the name of the group
   * @return the group
   * @throws IllegalArgumentException if there is no such group
   */
  public GroupModel group(String name) {
    return groups
        .group(name)
        .orElseThrow(() -> new IllegalArgumentException("unknown group " + name));
  }

  /**
   * Injects a fault, or removes one.
   *
   * @param message the fault and its parameters
   */
  public void injectFault(FaultMessage message) {
    faults.apply(message);
  }

  /** Returns the groups in the order of their creation. */
  List<Groups.Listing> list() {
    return groups.list();
  }

  /** Closes all ports. */
  @Override
  public void close() {
    endpoint.close();
    groups.close();
    vms.close();
  }
}
