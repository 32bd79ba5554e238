package io.lycheejunction.proxy.caller;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.proxy.supervisor.Child;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.graceful.GracefulShutdownManager;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The proxy's HTTP server for callers, other proxies, operators and the load balancer. */
public final class HttpServer implements Child {
  private static final EventLog LOG = EventLog.of(HttpServer.class);
  private static final long DRAIN_TIMEOUT_MS = 10_000;
  private static final Map<String, Object> DEFAULTS =
      Map.of(
          "micronaut.server.max-request-size",
          8L << 20,
          "micronaut.server.netty.max-header-size",
          32_768,
          "micronaut.lifecycle.graceful-shutdown.enabled",
          true);

  private final Map<String, Object> properties;
  private final List<Object> beans;
  private ApplicationContext context;

  /**
   * Creates the server; it listens after {@link #start}.
   *
   * @param properties Micronaut's properties, such as the host and port
   * @param beans the constructor dependencies of the controllers
   */
  public HttpServer(Map<String, Object> properties, List<Object> beans) {
    Map<String, Object> merged = new HashMap<>(DEFAULTS);
    merged.putAll(properties);
    this.properties = Map.copyOf(merged);
    this.beans = List.copyOf(beans);
  }

  @Override
  public String name() {
    return "http";
  }

  @Override
  public synchronized void start() {
    ApplicationContext newContext =
        ApplicationContext.builder().properties(properties).banner(false).build();
    newContext.start();
    beans.forEach(newContext::registerSingleton);
    newContext.getBean(EmbeddedServer.class).start();
    context = newContext;
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the port
   */
  public synchronized int port() {
    return Objects.requireNonNull(context, "context is null")
        .getBean(EmbeddedServer.class)
        .getPort();
  }

  @Override
  public synchronized void stop() {
    if (context != null) {
      drain(context);
      context.close();
      context = null;
    }
  }

  private static void drain(ApplicationContext running) {
    try {
      running
          .getBean(GracefulShutdownManager.class)
          .shutdownGracefully()
          .toCompletableFuture()
          .get(DRAIN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("http_drain_incomplete", "cause", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
