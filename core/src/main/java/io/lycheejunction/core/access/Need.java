package io.lycheejunction.core.access;

import io.lycheejunction.core.language.Statement;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a request needs to be allowed. */
public sealed interface Need {
  /** The path of operators' statements. */
  String OPERATOR_PATH = "/v1/operator";

  /** What the paths of messages between proxies start with. */
  String PEER_PREFIX = "/peer/";

  /** Nothing: the request is open to everybody. */
  record Open() implements Need {}

  /**
   * A caller's credential for a service.
   *
   * @param service the name of the service
   */
  record Caller(String service) implements Need {
    /** Rejects a null name. */
    public Caller {
      Objects.requireNonNull(service, "service is null");
    }
  }

  /** An operator's credential. */
  record OperatorRead() implements Need {}

  /** An operator's credential that allows changes. */
  record OperatorChange() implements Need {}

  /** The credential of a proxy. */
  record Peer() implements Need {}

  /** A path that the proxy does not serve; no credential allows it. */
  record Unknown() implements Need {}

  /**
   * Returns what a path needs; a path that is not listed is unknown.
   *
   * @param path the path as it was sent, without the query
   * @return the need
   */
  static Need ofPath(String path) {
    return switch (path) {
      case "/health/live", "/health/ready" -> new Open();
      case "/metrics", OPERATOR_PATH -> new OperatorRead();
      default -> ofLongPath(path);
    };
  }

  private static Need ofLongPath(String path) {
    if (path.startsWith(PEER_PREFIX)) {
      return new Peer();
    }
    Matcher service = Paths.SERVICE.matcher(path);
    return service.matches() ? new Caller(service.group(1)) : new Unknown();
  }

  /**
   * Returns what a statement of an operator needs.
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

  /** The patterns of paths. */
  final class Paths {
    /** A name with an escaped character matches nothing: a service's name has none. */
    private static final Pattern SERVICE =
        Pattern.compile("/v1/services/([a-z0-9-]+)/(?:statements|transactions|outcomes)(?:/.*)?");

    private Paths() {}
  }
}
