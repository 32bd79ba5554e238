package io.lycheejunction.bench.load;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.ProxySettings;
import io.lycheejunction.proxy.ProxyTree;
import io.lycheejunction.proxy.caller.CallerLimits;
import io.lycheejunction.proxy.group.GroupSettings;
import io.lycheejunction.standin.Standin;
import io.lycheejunction.standin.StandinSettings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The platform stand-in and the proxies of a bench, in this process on loopback addresses. */
public final class LocalSite implements AutoCloseable {
  private static final String SESSION_KEY = "session-key-of-the-local-benches";
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long POLL_INTERVAL_MS = 50;
  private static final long COMMAND_TIMEOUT_MS = 20_000;

  /**
   * A running proxy.
   *
   * @param vm the name of the entry VM that it runs on
   * @param failureDomain the failure domain of that VM
   * @param address its address as {@code ip:port}
   * @param tree its supervision tree
   */
  public record Proxy(String vm, String failureDomain, String address, ProxyTree tree) {
    /** Rejects null components. */
    public Proxy {
      Objects.requireNonNull(vm, "vm is null");
      Objects.requireNonNull(failureDomain, "failureDomain is null");
      Objects.requireNonNull(address, "address is null");
      Objects.requireNonNull(tree, "tree is null");
    }
  }

  private final BlockingHttpClient http;
  private final RuntimeClock clock;
  private final Standin standin;
  private final PlatformClient platform;
  private final List<Proxy> proxies = new ArrayList<>();

  private LocalSite(StandinSettings settings, BlockingHttpClient http, RuntimeClock clock)
      throws IOException {
    this.http = http;
    this.clock = clock;
    this.standin = new Standin(settings, clock);
    this.platform = new PlatformClient(http, standin.address());
  }

  /**
   * Starts a site and returns it once its proxies are ready and its groups and services configured.
   *
   * @param settings the settings of the stand-in, with the groups to create
   * @param proxiesPerDomain the number of proxies in each failure domain
   * @param http the client for requests to proxies and stand-in
   * @param clock the clock of the proxies, the stand-in and the readiness timeout
   * @return the site
   * @throws InterruptedException if the thread is interrupted
   */
  public static LocalSite start(
      StandinSettings settings, int proxiesPerDomain, BlockingHttpClient http, RuntimeClock clock)
      throws InterruptedException {
    try {
      LocalSite site = new LocalSite(settings, http, clock);
      for (int domain = 0; domain < settings.domains().size(); domain++) {
        for (int i = 1; i <= proxiesPerDomain; i++) {
          site.startProxy(settings.domains().get(domain), "127.0." + (domain + 1) + "." + i);
        }
      }
      site.awaitReady();
      for (PlatformClient.Group group : site.platform.groups()) {
        site.executeCommand(GroupCommands.createGroup(group));
        site.executeCommand(GroupCommands.createService(group));
      }
      return site;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void startProxy(String domain, String ip) throws IOException, InterruptedException {
    String vm = "vm-" + domain + "-" + (proxies.size() + 1);
    String address = ip + ":" + freePort(ip);
    platform.register(new Vm(vm, Vm.Kind.ENTRY, domain, address, false));
    ProxySettings settings =
        new ProxySettings(
            vm,
            domain,
            address,
            standin.address(),
            List.of(),
            0,
            GroupSettings.standard(),
            CallerLimits.defaults());
    ProxyTree tree = new ProxyTree(settings, tokenCodec(), clock);
    tree.root().start();
    proxies.add(new Proxy(vm, domain, address, tree));
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  private static TokenCodec tokenCodec() {
    return TokenCodec.of(SESSION_KEY.getBytes(StandardCharsets.UTF_8))
        .fold(
            fault -> {
              throw new IllegalStateException(fault.detail());
            },
            codec -> codec);
  }

  private void awaitReady() throws InterruptedException {
    Balancer balancer = new Balancer(http, proxies.stream().map(Proxy::address).toList());
    long untilMs = clock.monotonicMs() + START_TIMEOUT_MS;
    balancer.probe();
    while (balancer.readyCount() < proxies.size()) {
      if (clock.monotonicMs() >= untilMs) {
        throw new IllegalStateException(
            "the proxies did not become ready within " + START_TIMEOUT_MS + " ms");
      }
      clock.sleepMs(POLL_INTERVAL_MS);
      balancer.probe();
    }
  }

  private void executeCommand(String text) {
    OperatorRequest request =
        new OperatorRequest(text, Optional.empty(), Optional.empty(), false, true);
    HttpReply reply =
        http.send(
            "POST",
            proxies.getFirst().address(),
            "/v1/operator",
            Json.write(request),
            List.of(),
            COMMAND_TIMEOUT_MS);
    Optional<OperatorReply> operatorReply =
        reply
            .okBody()
            .flatMap(
                body ->
                    Json.read(body, OperatorReply.class).fold(f -> Optional.empty(), Optional::of));
    if (operatorReply.isEmpty() || operatorReply.get().outcome() != Outcome.DONE) {
      throw new IllegalStateException("operator command failed: " + text + ": " + reply);
    }
  }

  /**
   * Returns the proxies.
   *
   * @return the proxies, in the order of their failure domains
   */
  public List<Proxy> proxies() {
    return List.copyOf(proxies);
  }

  /**
   * Returns the platform stand-in.
   *
   * @return the stand-in, on which a bench can set faults
   */
  public Standin standin() {
    return standin;
  }

  /**
   * Returns the groups that the stand-in runs.
   *
   * @return the groups, in the order in which they were created
   */
  public List<PlatformClient.Group> groups() {
    return platform.groups();
  }

  /**
   * Returns the sum of all samples of a metric of a proxy.
   *
   * @param proxy the proxy whose metrics are read
   * @param metric the name of the metric in the Prometheus text format
   * @return the sum, 0 if there is no sample
   */
  public double metric(Proxy proxy, String metric) {
    HttpReply reply =
        http.send("GET", proxy.address(), "/metrics", "", List.of(), COMMAND_TIMEOUT_MS);
    return reply
        .okBody()
        .orElse("")
        .lines()
        .filter(line -> line.startsWith(metric + " ") || line.startsWith(metric + "{"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  @Override
  public void close() {
    proxies.forEach(proxy -> proxy.tree().root().stop());
    standin.close();
  }
}
