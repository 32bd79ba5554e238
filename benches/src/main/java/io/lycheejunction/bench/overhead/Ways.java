package io.lycheejunction.bench.overhead;

import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.CallerReply;
import io.lycheejunction.bench.load.GroupCommands;
import io.lycheejunction.bench.load.LoadRun;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.bench.load.Statement;
import io.lycheejunction.common.http.HttpCaller;
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
 * The ways of a read to its target.
 *
 * @param holder the proxy that holds the target
 * @param direct the way without a proxy
 * @param one the way through the holder, of a read that accepts an age
 * @param two the way through another proxy and the holder, of a read that accepts an age
 * @param oneLatest the way through the holder, of a read that accepts no age
 * @param twoLatest the way through another proxy and the holder, of a read that accepts no age
 */
record Ways(LocalSite.Proxy holder, Way direct, Way one, Way two, Way oneLatest, Way twoLatest) {
  static final String DIRECT = "way=direct";
  static final String ONE = "way=one";
  static final String TWO = "way=two";
  static final String ONE_LATEST = "way=one-latest";
  static final String TWO_LATEST = "way=two-latest";
  private static final long MAX_AGE_MS = 2_000;
  private static final String SERVICE = GroupCommands.SERVICE_PREFIX + "g1";
  private static final String WRITE = "put orders k1 {\"bottles\":1}";
  private static final String READ = "get orders k1";
  private static final long TIMEOUT_MS = 5_000;
  private static final String OPENED = "lycheejunction_holder_connections_opened_total";

  /** One way of a statement to its target. */
  interface Way {
    /** Returns the name of the way. */
    String name();

    /** Returns the steps of workers that each read one row. */
    List<LoadRun.Step> workers(int count);
  }

  /** Statements without a proxy. */
  private static final class Direct implements Way {
    private final HttpTargetPort port;
    private final TargetSpec target;
    private final List<TargetConnection> connections = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();

    Direct(HttpCaller http, TargetSpec target) {
      this.port = new HttpTargetPort(http);
      this.target = target;
    }

    @Override
    public String name() {
      return DIRECT;
    }

    @Override
    public List<LoadRun.Step> workers(int count) {
      while (connections.size() < count) {
        connections.add(
            port.open(target, TIMEOUT_MS)
                .fold(
                    fault -> {
                      throw new IllegalStateException(fault.detail());
                    },
                    connection -> connection));
      }
      return connections.stream().limit(count).<LoadRun.Step>map(c -> () -> read(c)).toList();
    }

    private boolean read(TargetConnection connection) {
      TargetRequest request =
          new TargetRequest(
              "direct-" + ids.incrementAndGet(),
              0,
              Access.READ,
              READ,
              Optional.empty(),
              TIMEOUT_MS);
      return connection.execute(request) instanceof TargetReply.Answered;
    }
  }

  /** Statements through a proxy. */
  private record Proxied(
      String name,
      CallerClient client,
      String proxy,
      Optional<String> token,
      Optional<Long> maxAgeMs)
      implements Way {
    @Override
    public List<LoadRun.Step> workers(int count) {
      Statement read = Statement.read(SERVICE, READ, token, maxAgeMs, TIMEOUT_MS);
      return Stream.<LoadRun.Step>generate(() -> () -> isDone(client.send(proxy, read)))
          .limit(count)
          .toList();
    }
  }

  static Ways of(LocalSite site, HttpCaller http, RuntimeClock clock) throws InterruptedException {
    CallerClient client = new CallerClient(http, clock, 0);
    LocalSite.Proxy first = site.proxies().getFirst();
    LocalSite.Proxy second = site.proxies().getLast();
    Optional<String> token = write(client, first.address());
    boolean isFirst = site.metric(first, OPENED) > site.metric(second, OPENED);
    LocalSite.Proxy holder = isFirst ? first : second;
    LocalSite.Proxy entry = isFirst ? second : first;
    Optional<Long> aged = Optional.of(MAX_AGE_MS);
    return new Ways(
        holder,
        new Direct(http, site.groups().getFirst().targets().getFirst()),
        new Proxied(ONE, client, holder.address(), token, aged),
        new Proxied(TWO, client, entry.address(), token, aged),
        new Proxied(ONE_LATEST, client, holder.address(), token, Optional.empty()),
        new Proxied(TWO_LATEST, client, entry.address(), token, Optional.empty()));
  }

  private static Optional<String> write(CallerClient client, String proxy)
      throws InterruptedException {
    Statement write =
        new Statement(
            SERVICE,
            WRITE,
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

  List<Way> all() {
    return List.of(direct, one, two, oneLatest, twoLatest);
  }
}
