package io.lycheejunction.bench.failover;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.ProxySettings;
import io.lycheejunction.proxy.ProxyTree;
import io.lycheejunction.proxy.caller.CallerLimits;
import io.lycheejunction.proxy.group.GroupSettings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Proxies that share one platform, two in each failure domain, in this process. */
final class ProxyFleet implements AutoCloseable {
  private static final int PROXIES_PER_DOMAIN = 2;
  private static final byte[] TOKEN_KEY =
      "key-of-the-bench-0123456789".getBytes(StandardCharsets.UTF_8);

  private final List<Vm> vms = new ArrayList<>();
  private final List<ProxyTree> trees = new ArrayList<>();

  ProxyFleet(User user) {
    for (int i = 0; i < user.domains().size(); i++) {
      for (int j = 1; j <= PROXIES_PER_DOMAIN; j++) {
        String ip = "127.0." + (i + 1) + "." + j;
        String domain = user.domains().get(i);
        String name = "vm-" + domain + "-" + j;
        vms.add(new Vm(name, Vm.Kind.ENTRY, domain, ip + ":" + freePort(ip), false));
      }
    }
  }

  private static int freePort(String ip) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("no free port on " + ip, e);
    }
  }

  List<Vm> vms() {
    return List.copyOf(vms);
  }

  /** Starts the proxies; their VMs must already be registered with the platform. */
  void start(String platformAddress, RuntimeClock clock) throws InterruptedException {
    TokenCodec tokenCodec = TokenCodec.of(TOKEN_KEY).getOrElse(null);
    for (Vm vm : vms) {
      ProxySettings settings =
          new ProxySettings(
              vm.name(),
              vm.failureDomain(),
              vm.address(),
              platformAddress,
              List.of(),
              0,
              GroupSettings.standard(),
              CallerLimits.defaults());
      ProxyTree tree = new ProxyTree(settings, tokenCodec, clock);
      trees.add(tree);
      tree.root().start();
      Thread.ofVirtual().name("supervisor").start(() -> runSupervisor(tree));
    }
  }

  private static void runSupervisor(ProxyTree tree) {
    try {
      tree.root().watch();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the addresses of the proxies outside a failure domain. */
  List<String> addressesOutside(String domain) {
    return vms.stream().filter(v -> !v.failureDomain().equals(domain)).map(Vm::address).toList();
  }

  List<String> addresses() {
    return vms.stream().map(Vm::address).toList();
  }

  @Override
  public void close() {
    trees.forEach(tree -> tree.root().stop());
  }
}
