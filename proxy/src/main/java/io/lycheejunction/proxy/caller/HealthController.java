package io.lycheejunction.proxy.caller;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/** Serves the health checks of the load balancer. */
@Controller("/health")
public class HealthController {
  private final Readiness readiness;

  /**
   * Creates the controller.
   *
   * @param readiness whether the proxy accepts new callers
   */
  public HealthController(Readiness readiness) {
    this.readiness = readiness;
  }

  /**
   * Returns 200 while the process runs.
   *
   * @return the response
   */
  @Get(value = "/live", produces = MediaType.TEXT_PLAIN)
  public HttpResponse<String> live() {
    return HttpResponse.ok("live\n");
  }

  /**
   * Returns 200 while the proxy accepts new callers, 503 with the reason otherwise.
   *
   * @return the response
   */
  @Get(value = "/ready", produces = MediaType.TEXT_PLAIN)
  public HttpResponse<String> ready() {
    return readiness
        .reasonNotReady()
        .map(
            reason ->
                HttpResponse.<String>status(HttpStatus.SERVICE_UNAVAILABLE).body(reason + "\n"))
        .orElseGet(() -> HttpResponse.ok("ready\n"));
  }
}
