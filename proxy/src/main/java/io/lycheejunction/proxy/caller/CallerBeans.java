package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.TokenCodec;
import java.util.List;
import java.util.Objects;

/**
 * The constructor dependencies of the controllers that serve callers.
 *
 * @param coordinator executes requests
 * @param parser parses requests
 * @param responses converts answers to HTTP responses
 * @param limits the limits of callers' requests
 */
public record CallerBeans(
    Coordinator coordinator,
    RequestParser parser,
    HttpResponseFactory responses,
    CallerLimits limits) {
  /** Rejects null components. */
  public CallerBeans {
    Objects.requireNonNull(coordinator, "coordinator is null");
    Objects.requireNonNull(parser, "parser is null");
    Objects.requireNonNull(responses, "responses is null");
    Objects.requireNonNull(limits, "limits is null");
  }

  /**
   * Returns the dependencies for a coordinator.
   *
   * @param coordinator executes requests
   * @param tokens encodes and decodes session tokens
   * @param limits the limits of callers' requests
   * @return the dependencies
   */
  public static CallerBeans of(Coordinator coordinator, TokenCodec tokens, CallerLimits limits) {
    return new CallerBeans(
        coordinator, new RequestParser(tokens, limits), new HttpResponseFactory(tokens), limits);
  }

  /**
   * Returns the beans to register with the HTTP server.
   *
   * @return the beans
   */
  public List<Object> beans() {
    return List.of(coordinator, parser, responses, limits);
  }
}
