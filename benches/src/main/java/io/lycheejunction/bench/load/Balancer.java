package io.lycheejunction.bench.load;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import java.util.List;
import java.util.Objects;
import java.util.Random;

/** Replaces the platform's load balancer: picks a random proxy among those that report ready. */
public final class Balancer {
  private static final long PROBE_TIMEOUT_MS = 1_000;

  private final BlockingHttpClient http;
  private final List<String> proxies;
  private volatile List<String> ready = List.of();

  /**
   * Creates a balancer whose proxies all count as not ready until the first probe.
   *
   * @param http the client that probes the proxies
   * @param proxies the proxies' addresses as {@code ip:port}
   */
  public Balancer(BlockingHttpClient http, List<String> proxies) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.proxies = List.copyOf(proxies);
  }

  /** Requests the readiness of every proxy and replaces the set of ready proxies. */
  public void probe() {
    ready = proxies.stream().filter(this::isReady).toList();
  }

  private boolean isReady(String proxy) {
    HttpReply reply = http.send("GET", proxy, "/health/ready", "", List.of(), PROBE_TIMEOUT_MS);
    return reply.okBody().isPresent();
  }

  /**
   * Returns the number of proxies that were ready at the last probe.
   *
   * @return the number, 0 before the first probe
   */
  public int readyCount() {
    return ready.size();
  }

  /**
   * Returns a random ready proxy, or any proxy if none is ready.
   *
   * @param random the source of the choice
   * @return the address as {@code ip:port}
   */
  public String choose(Random random) {
    List<String> eligible = ready.isEmpty() ? proxies : ready;
    return eligible.get(random.nextInt(eligible.size()));
  }
}
