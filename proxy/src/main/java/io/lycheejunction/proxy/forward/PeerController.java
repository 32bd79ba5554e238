package io.lycheejunction.proxy.forward;

import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;

/** Receives messages from other proxies over HTTP. */
@Controller("/peer")
@ExecuteOn(TaskExecutors.BLOCKING)
public class PeerController {
  private final PeerRoutes routes;

  /**
   * Creates the controller.
   *
   * @param routes the handlers by path
   */
  public PeerController(PeerRoutes routes) {
    this.routes = routes;
  }

  /**
   * Handles a message and returns the envelope of the reply.
   *
   * @param path the path below {@code /peer/}
   * @param body the JSON text of the message
   * @return the JSON text of the envelope
   */
  @Post(uri = "/{+path}", consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public String receive(@PathVariable String path, @Body String body) {
    return routes.handle("/peer/" + path, body);
  }
}
