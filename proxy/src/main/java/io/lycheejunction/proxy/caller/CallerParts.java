package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.TokenCodec;
import java.util.List;
import java.util.Objects;

/**
 * What the callers' controllers take in their constructors.
 *
 * @param coordinator takes requests through their path
 * @param parser reads requests
 * @param answers writes answers
 * @param limits the limits of callers' requests
 */
public record CallerParts(
    Coordinator coordinator, RequestParser parser, HttpAnswers answers, CallerLimits limits) {
  /** Rejects null components. */
  public CallerParts {
    Objects.requireNonNull(coordinator, "coordinator is null");
    Objects.requireNonNull(parser, "parser is null");
    Objects.requireNonNull(answers, "answers is null");
    Objects.requireNonNull(limits, "limits is null");
  }

  /**
   * Returns the parts of a coordinator.
   *
   * @param coordinator takes requests through their path
   * @param tokens reads and writes session tokens
   * @param limits the limits of callers' requests
   * @return the parts
   */
  public static CallerParts of(Coordinator coordinator, TokenCodec tokens, CallerLimits limits) {
    return new CallerParts(
        coordinator, new RequestParser(tokens, limits), new HttpAnswers(tokens), limits);
  }

  /**
   * Returns the objects that the HTTP server has to know.
   *
   * @return the objects
   */
  public List<Object> beans() {
    return List.of(coordinator, parser, answers, limits);
  }
}
