package io.lycheejunction.proxy.caller;

import io.lycheejunction.proxy.supervisor.Child;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The proxy's HTTP server, for callers, other proxies, operators and the balancer. */
public final class HttpServer implements Child {
  private final Map<String, Object> properties;
  private final List<Object> beans;
  private ApplicationContext context;

  /**
   * Creates the server; it listens once it is started.
   *
   * @param properties Micronaut's properties, such as the host and port
   * @param beans the objects that controllers take in their constructors
   */
  public HttpServer(Map<String, Object> properties, List<Object> beans) {
    this.properties = Map.copyOf(properties);
    this.beans = List.copyOf(beans);
  }

  @Override
  public String name() {
    return "http";
  }

  @Override
  public synchronized void start() {
    ApplicationContext fresh =
        ApplicationContext.builder().properties(properties).banner(false).build();
    fresh.start();
    beans.forEach(fresh::registerSingleton);
    fresh.getBean(EmbeddedServer.class).start();
    context = fresh;
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
      context.close();
      context = null;
    }
  }
}
