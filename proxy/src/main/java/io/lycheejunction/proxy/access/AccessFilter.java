package io.lycheejunction.proxy.access;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.core.access.RequiredAccess;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.proxy.caller.HttpResponseFactory;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.micronaut.context.BeanProvider;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import io.micronaut.http.server.annotation.PreMatching;
import java.util.Objects;
import java.util.Optional;

/** Refuses requests without the credential that they need, before the route is matched. */
@ServerFilter(ServerFilter.MATCH_ALL_PATTERN)
public class AccessFilter {
  private final AccessGate gate;
  private final BeanProvider<HttpResponseFactory> responses;

  /**
   * Creates the filter.
   *
   * @param gate checks credentials
   * @param responses builds HTTP answers to callers
   */
  public AccessFilter(AccessGate gate, BeanProvider<HttpResponseFactory> responses) {
    this.gate = Objects.requireNonNull(gate, "gate is null");
    this.responses = Objects.requireNonNull(responses, "responses is null");
  }

  /**
   * Returns the response that refuses a request.
   *
   * @param request the request
   * @return the response, null if the request is allowed
   */
  @RequestFilter
  @PreMatching
  @Nullable
  public HttpResponse<?> check(HttpRequest<?> request) {
    String path = Objects.requireNonNullElse(request.getUri().getRawPath(), "");
    return gate.refusal(authorization(request), RequiredAccess.ofPath(path))
        .map(fault -> refuse(path, fault))
        .orElse(null);
  }

  /**
   * Returns the value of the {@code Authorization} header, which carries the credential.
   *
   * @param request the request
   * @return the value, if the request has one
   */
  public static Optional<String> authorization(HttpRequest<?> request) {
    return Optional.ofNullable(request.getHeaders().get(HttpHeaders.AUTHORIZATION));
  }

  private HttpResponse<?> refuse(String path, Fault fault) {
    MutableHttpResponse<?> response = answer(path, fault);
    if (fault.code().httpStatus() == HttpStatus.UNAUTHORIZED.getCode()) {
      response.header(HttpHeaders.WWW_AUTHENTICATE, "Bearer");
    }
    return response;
  }

  private MutableHttpResponse<?> answer(String path, Fault fault) {
    if (path.equals(RequiredAccess.OPERATOR_PATH)) {
      return json(fault, Json.write(OperatorReply.failed(fault, Optional.empty())));
    }
    return path.startsWith(RequiredAccess.PEER_PREFIX)
        ? json(fault, PeerRoutes.refusal(fault))
        : responses.get().refused(fault);
  }

  private static MutableHttpResponse<?> json(Fault fault, String body) {
    return HttpResponse.status(HttpStatus.valueOf(fault.code().httpStatus()))
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(body);
  }
}
