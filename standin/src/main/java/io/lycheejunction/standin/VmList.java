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

/** The VM list as each failure domain sees it, with relays in place of entry VMs elsewhere. */
final class VmList {
  private record Way(String from, String to, String address) {}

  private final Network network;
  private final PlatformModel platform;
  private final InetAddress ip;
  private final Map<Way, Relay> relays = new ConcurrentHashMap<>();

  VmList(Network network, PlatformModel platform, InetAddress ip) {
    this.network = network;
    this.platform = platform;
    this.ip = ip;
  }

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
    Way way = new Way(domain, vm.failureDomain(), vm.address());
    String address = relays.computeIfAbsent(way, this::open).address();
    return new Vm(vm.name(), vm.kind(), vm.failureDomain(), address, vm.leaving());
  }

  private Relay open(Way way) {
    int colon = way.address().lastIndexOf(':');
    InetSocketAddress real =
        new InetSocketAddress(
            way.address().substring(0, colon),
            Integer.parseInt(way.address().substring(colon + 1)));
    try {
      return new Relay(network, way.from(), way.to(), ip, real);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot open a relay", e);
    }
  }

  void close() {
    relays.values().forEach(Relay::close);
  }
}
