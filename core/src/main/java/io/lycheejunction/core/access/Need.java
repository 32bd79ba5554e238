package io.lycheejunction.core.access;

import io.lycheejunction.core.language.Statement;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The access that a request needs. */
public sealed interface Need {
  /** The path of statements of the operator language. */
  String OPERATOR_PATH = "/v1/operator";

  /** The prefix of the paths of messages between proxies. */
  String PEER_PREFIX = "/peer/";

  /** No credential: the request is open to everybody. */
  record Open() implements Need {}

  /**
   * The credential of a caller of a service.
   *
   * @param service the name of the service
   */
  record Caller(String service) implements Need {
    /** Rejects a null name. */
    public Caller {
      Objects.requireNonNull(service, "service is null");
    }
  }

  /** The credential of an operator that allows reading. */
  record OperatorRead() implements Need {}

  /** The credential of an operator that allows changes. */
  record OperatorChange() implements Need {}

  /** The credential of a peer proxy. */
  record Peer() implements Need {}

  /** A path that the proxy does not serve; no credential allows it. */
  record Unknown() implements Need {}

  /**
   * Returns the access that a path needs.
   *
   * @param path the path as it was sent, without the query
   * @return the need; {@link Unknown} for a path that the proxy does not serve
   */
  static Need ofPath(String path) {
    return switch (path) {
      case "/health/live", "/health/ready" -> new Open();
      case "/metrics", OPERATOR_PATH -> new OperatorRead();
      default -> ofPeerOrServicePath(path);
    };
  }

  private static Need ofPeerOrServicePath(String path) {
    if (path.startsWith(PEER_PREFIX)) {
      return new Peer();
    }
    Matcher service = Paths.SERVICE.matcher(path);
    return service.matches() ? new Caller(service.group(1)) : new Unknown();
  }

  /**
   * Returns the access that a statement of an operator needs.
   *
   * @param statement the statement
   * @return the need
   */
  static Need of(Statement statement) {
    return switch (statement) {
      case Statement.Show show -> new OperatorRead();
      case Statement.ShowChange change -> new OperatorRead();
      case Statement.Submit submit -> new OperatorChange();
      case Statement.Shutdown shutdown -> new OperatorChange();
      case Statement.Promote promote -> new OperatorChange();
    };
  }

  /** The patterns of request paths. */
  final class Paths {
    /**
     * Service names have no characters that need percent-encoding, so a name with an encoded
     * character matches no service.
     */
    private static final Pattern SERVICE =
        Pattern.compile("/v1/services/([a-z0-9-]+)/(?:statements|transactions|outcomes)(?:/.*)?");

    private Paths() {}
  }
}
