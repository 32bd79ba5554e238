package io.lycheejunction.bench.overhead;

import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.CallerReply;
import io.lycheejunction.bench.load.GroupCommands;
import io.lycheejunction.bench.load.LoadRunner;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.bench.load.Statement;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.proxy.target.HttpTargetPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * The paths by which the bench sends a read to its target.
 *
 * @param holder the proxy that holds the connections to the target
 * @param direct the path without a proxy
 * @param oneProxy the path through the holder, for reads that accept stale data
 * @param twoProxies the path through another proxy and the holder, for reads that accept stale data
 * @param oneProxyLatest the path through the holder, for reads that accept no stale data
 * @param twoProxiesLatest the path through another proxy and the holder, for reads that accept no
 *     stale data
 */
record ReadPaths(
    LocalSite.Proxy holder,
    ReadPath direct,
    ReadPath oneProxy,
    ReadPath twoProxies,
    ReadPath oneProxyLatest,
    ReadPath twoProxiesLatest) {
  static final String DIRECT = "way=direct";
  static final String ONE_PROXY = "way=one";
  static final String TWO_PROXIES = "way=two";
  static final String ONE_PROXY_LATEST = "way=one-latest";
  static final String TWO_PROXIES_LATEST = "way=two-latest";
  private static final long MAX_AGE_MS = 2_000;
  private static final String SERVICE = GroupCommands.SERVICE_PREFIX + "g1";
  private static final String WRITE_STATEMENT = "put orders k1 {\"bottles\":1}";
  private static final String READ_STATEMENT = "get orders k1";
  private static final long TIMEOUT_MS = 5_000;
  private static final String CONNECTIONS_OPENED_METRIC =
      "lycheejunction_holder_connections_opened_total";

  /** One path of a read to its target. */
  interface ReadPath {
    /** Returns the key=value pair that identifies the path in the output. */
    String name();

    /** Returns one step per worker; each step reads one row. */
    List<LoadRunner.Step> workers(int count);
  }

  /** Reads sent directly to the target. */
  private static final class DirectPath implements ReadPath {
    private final HttpTargetPort port;
    private final TargetSpec target;
    private final List<TargetConnection> connections = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();

    DirectPath(BlockingHttpClient http, TargetSpec target) {
      this.port = new HttpTargetPort(http);
      this.target = target;
    }

    @Override
    public String name() {
      return DIRECT;
    }

    @Override
    public List<LoadRunner.Step> workers(int count) {
      while (connections.size() < count) {
        connections.add(
            port.openSession(target, TIMEOUT_MS)
                .fold(
                    fault -> {
                      throw new IllegalStateException(fault.detail());
                    },
                    connection -> connection));
      }
      return connections.stream().limit(count).<LoadRunner.Step>map(c -> () -> read(c)).toList();
    }

    private boolean read(TargetConnection connection) {
      TargetRequest request =
          new TargetRequest(
              "direct-" + ids.incrementAndGet(),
              0,
              Access.READ,
              READ_STATEMENT,
              Optional.empty(),
              TIMEOUT_MS);
      return connection.execute(request) instanceof TargetReply.Answered;
    }
  }

  /** Reads sent to a proxy. */
  private record ProxiedPath(
      String name,
      CallerClient client,
      String proxy,
      Optional<String> token,
      Optional<Long> maxAgeMs)
      implements ReadPath {
    @Override
    public List<LoadRunner.Step> workers(int count) {
      Statement read = Statement.read(SERVICE, READ_STATEMENT, token, maxAgeMs, TIMEOUT_MS);
      return Stream.<LoadRunner.Step>generate(() -> () -> isDone(client.send(proxy, read)))
          .limit(count)
          .toList();
    }
  }

  static ReadPaths of(LocalSite site, BlockingHttpClient http, RuntimeClock clock)
      throws InterruptedException {
    CallerClient client = new CallerClient(http, clock, 0);
    LocalSite.Proxy first = site.proxies().getFirst();
    LocalSite.Proxy second = site.proxies().getLast();
    Optional<String> token = write(client, first.address());
    boolean firstIsHolder =
        site.metric(first, CONNECTIONS_OPENED_METRIC)
            > site.metric(second, CONNECTIONS_OPENED_METRIC);
    LocalSite.Proxy holder = firstIsHolder ? first : second;
    LocalSite.Proxy entry = firstIsHolder ? second : first;
    Optional<Long> maxAgeMs = Optional.of(MAX_AGE_MS);
    return new ReadPaths(
        holder,
        new DirectPath(http, site.groups().getFirst().targets().getFirst()),
        new ProxiedPath(ONE_PROXY, client, holder.address(), token, maxAgeMs),
        new ProxiedPath(TWO_PROXIES, client, entry.address(), token, maxAgeMs),
        new ProxiedPath(ONE_PROXY_LATEST, client, holder.address(), token, Optional.empty()),
        new ProxiedPath(TWO_PROXIES_LATEST, client, entry.address(), token, Optional.empty()));
  }

  private static Optional<String> write(CallerClient client, String proxy)
      throws InterruptedException {
    Statement write =
        new Statement(
            SERVICE,
            WRITE_STATEMENT,
            true,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            true,
            TIMEOUT_MS);
    CallerReply reply = client.send(proxy, write);
    if (reply instanceof CallerReply.Answer answer && answer.isDone()) {
      return answer.token();
    }
    throw new IllegalStateException("the first write failed: " + reply);
  }

  private static boolean isDone(CallerReply reply) {
    return reply instanceof CallerReply.Answer answer && answer.isDone();
  }

  List<ReadPath> all() {
    return List.of(direct, oneProxy, twoProxies, oneProxyLatest, twoProxiesLatest);
  }
}
