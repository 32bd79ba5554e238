package io.lycheejunction.bench.load;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.http.HttpReply;
import java.util.List;
import java.util.Objects;
import java.util.Random;

/** Stands in for the platform's balancer: sends callers to the proxies that say they are ready. */
public final class Balancer {
  private static final long PROBE_TIMEOUT_MS = 1_000;

  private final HttpCaller http;
  private final List<String> proxies;
  private volatile List<String> ready = List.of();

  /**
   * Creates a balancer that knows no ready proxy yet.
   *
   * @param http the HTTP client
   * @param proxies the proxies' addresses as {@code ip:port}
   */
  public Balancer(HttpCaller http, List<String> proxies) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.proxies = List.copyOf(proxies);
  }

  /** Asks every proxy whether it is ready. */
  public void probe() {
    ready = proxies.stream().filter(this::isReady).toList();
  }

  private boolean isReady(String proxy) {
    HttpReply reply = http.send("GET", proxy, "/health/ready", "", List.of(), PROBE_TIMEOUT_MS);
    return reply.okBody().isPresent();
  }

  /**
   * Returns the number of ready proxies.
   *
   * @return the number at the last probe
   */
  public int size() {
    return ready.size();
  }

  /**
   * Returns a ready proxy, or any if none is ready.
   *
   * @param random chooses among them
   * @return the address as {@code ip:port}
   */
  public String choose(Random random) {
    List<String> eligible = ready.isEmpty() ? proxies : ready;
    return eligible.get(random.nextInt(eligible.size()));
  }
}
