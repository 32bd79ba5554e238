package io.lycheejunction.bench.demo;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.GroupCommands;
import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Registers the entry VMs with the stand-in platform and prints the operator commands that create
 * its groups and one service for each of them.
 */
public final class PlanBench implements Bench {
  static final String SERVICE_PREFIX = GroupCommands.SERVICE_PREFIX;

  private final BlockingHttpClient http;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   */
  public PlanBench(BlockingHttpClient http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  @Override
  public String name() {
    return "plan";
  }

  @Override
  public int run(Settings settings) {
    PlatformClient platform = new PlatformClient(http, settings.text(BenchSettings.PLATFORM));
    parseVms(settings).forEach(platform::register);
    for (PlatformClient.Group group : platform.groups()) {
      System.out.println(GroupCommands.createGroup(group));
      System.out.println(GroupCommands.createService(group));
    }
    return 0;
  }

  private static List<Vm> parseVms(Settings settings) {
    return BenchSettings.list(settings, BenchSettings.VMS).stream()
        .map(PlanBench::parseVm)
        .toList();
  }

  private static Vm parseVm(String text) {
    String[] parts = text.split("=", 3);
    if (parts.length < 3) {
      throw new IllegalArgumentException(
          "setting vms: an entry must be NAME=DOMAIN=IP:PORT: " + text);
    }
    return new Vm(parts[0], Vm.Kind.ENTRY, parts[1], parts[2], false);
  }

  /**
   * Returns the group of a service that was created by the printed commands.
   *
   * @param service the name of the service
   * @return the name of the group, or empty if the name of the service lacks the prefix
   */
  static Optional<String> groupOf(String service) {
    return service.startsWith(SERVICE_PREFIX)
        ? Optional.of(service.substring(SERVICE_PREFIX.length()))
        : Optional.empty();
  }
}
