package io.lycheejunction.core.access;

import io.lycheejunction.core.language.Statement;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The access that a request needs. */
public sealed interface RequiredAccess {
  /** The path of statements of the operator language. */
  String OPERATOR_PATH = "/v1/operator";

  /** The prefix of the paths of messages between proxies. */
  String PEER_PREFIX = "/peer/";

  /** No credential: the request is open to everybody. */
  record Public() implements RequiredAccess {}

  /**
   * The credential of a caller of a service.
   *
   * @param service the name of the service
   */
  record Caller(String service) implements RequiredAccess {
    /** Rejects a null name. */
    public Caller {
      Objects.requireNonNull(service, "service is null");
    }
  }

  /** The credential of an operator that allows reading. */
  record OperatorRead() implements RequiredAccess {}

  /** The credential of an operator that allows changes. */
  record OperatorChange() implements RequiredAccess {}

  /** The credential of a peer proxy. */
  record Peer() implements RequiredAccess {}

  /** A path that the proxy does not serve; no credential allows it. */
  record UnservedPath() implements RequiredAccess {}

  /**
   * Returns the access that a path needs.
   *
   * @param path the path as it was sent, without the query
   * @return the required access; {@link UnservedPath} for a path that the proxy does not serve
   */
  static RequiredAccess ofPath(String path) {
    return switch (path) {
      case "/health/live", "/health/ready" -> new Public();
      case "/metrics", OPERATOR_PATH -> new OperatorRead();
      default -> ofPeerOrServicePath(path);
    };
  }

  private static RequiredAccess ofPeerOrServicePath(String path) {
    if (path.startsWith(PEER_PREFIX)) {
      return new Peer();
    }
    Matcher service = Paths.SERVICE.matcher(path);
    return service.matches() ? new Caller(service.group(1)) : new UnservedPath();
  }

  /**
   * Returns the access that a statement of an operator needs.
   *
   * @param statement the statement
   * @return the required access
   */
  static RequiredAccess of(Statement statement) {
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
