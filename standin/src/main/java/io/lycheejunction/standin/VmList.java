package io.lycheejunction.standin;

import io.lycheejunction.core.port.Vm;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.PlatformModel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The VM list as each failure domain sees it.
 *
 * <p>The address of an entry VM in another failure domain is replaced by that of a relay, which
 * applies the delay and the cuts of the link.
 */
final class VmList {
  private record RelayRoute(String from, String to, String address) {}

  private final Network network;
  private final PlatformModel platform;
  private final InetAddress ip;
  private final Map<RelayRoute, Relay> relays = new ConcurrentHashMap<>();

  VmList(Network network, PlatformModel platform, InetAddress ip) {
    this.network = network;
    this.platform = platform;
    this.ip = ip;
  }

  /** Returns the listed VMs with the addresses to use from a failure domain. */
  List<Vm> seenFrom(String domain) {
    return platform.vms().stream().map(vm -> seenFrom(domain, vm)).toList();
  }

  private Vm seenFrom(String domain, Vm vm) {
    boolean direct =
        domain.equals(Links.CLIENT)
            || vm.kind() == Vm.Kind.TARGET
            || domain.equals(vm.failureDomain());
    if (direct) {
      return vm;
    }
    RelayRoute route = new RelayRoute(domain, vm.failureDomain(), vm.address());
    String address = relays.computeIfAbsent(route, this::openRelay).address();
    return new Vm(vm.name(), vm.kind(), vm.failureDomain(), address, vm.leaving());
  }

  private Relay openRelay(RelayRoute route) {
    int colon = route.address().lastIndexOf(':');
    InetSocketAddress processAddress =
        new InetSocketAddress(
            route.address().substring(0, colon),
            Integer.parseInt(route.address().substring(colon + 1)));
    try {
      return new Relay(network, route.from(), route.to(), ip, processAddress);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot start a relay", e);
    }
  }

  void close() {
    relays.values().forEach(Relay::close);
  }
}
