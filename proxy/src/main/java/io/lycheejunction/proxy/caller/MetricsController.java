package io.lycheejunction.proxy.caller;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.Objects;

/** Serves the proxy's metrics in the Prometheus text format. */
@Controller("/metrics")
@ExecuteOn(TaskExecutors.BLOCKING)
public class MetricsController {
  private final PrometheusMeterRegistry registry;

  /**
   * Creates the controller.
   *
   * @param registry the registry of the meters
   */
  public MetricsController(PrometheusMeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
  }

  /**
   * Returns the meters in the Prometheus text format.
   *
   * @return the text
   */
  @Get(produces = MediaType.TEXT_PLAIN)
  public String scrape() {
    return registry.scrape();
  }
}
