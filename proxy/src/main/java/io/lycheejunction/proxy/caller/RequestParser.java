package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.session.TokenCodec;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

/** Parses and validates the headers and bodies of callers' requests. */
public final class RequestParser {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);
  private static final long DEFAULT_IDLE_LIMIT_MS = 10_000;

  private final TokenCodec tokens;
  private final CallerLimits limits;
  private final BodyParser bodies;

  private record ParsedStatement(Access access, String statement) {}

  /**
   * A statement in a transaction.
   *
   * @param call the transaction and the session
   * @param access the declared effect, read or write
   * @param statement the text of the statement
   */
  record Step(TransactionCall call, Access access, String statement) {}

  /**
   * A commit or a rollback.
   *
   * @param call the transaction and the session
   * @param key the idempotency key, if any
   */
  record End(TransactionCall call, Optional<IdempotencyKey> key) {}

  /**
   * Creates a parser.
   *
   * @param tokens decodes session tokens
   * @param limits the limits of callers' requests
   */
  public RequestParser(TokenCodec tokens, CallerLimits limits) {
    this.tokens = Objects.requireNonNull(tokens, "tokens is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
    this.bodies = new BodyParser(limits.maxBodyBytes());
  }

  /**
   * Returns the single statement that a request contains.
   *
   * @param service the name of the service
   * @param headers the headers
   * @param body the bytes of the body
   * @return the call, or the fault
   */
  Result<StatementCall> statement(String service, CallerHeaders headers, byte[] body) {
    return bodies
        .parse(body, StatementBody.class)
        .flatMap(fields -> statement(service, headers, fields));
  }

  private Result<StatementCall> statement(
      String service, CallerHeaders headers, StatementBody fields) {
    return access(fields.access())
        .flatMap(
            access ->
                statementText(fields.statement())
                    .flatMap(
                        statement ->
                            statement(
                                service, headers, fields, new ParsedStatement(access, statement))));
  }

  private Result<StatementCall> statement(
      String service, CallerHeaders headers, StatementBody fields, ParsedStatement parsed) {
    if (fields.maxAgeMs().isPresent() && parsed.access() == Access.WRITE) {
      return badValue("maxAgeMs is not allowed for writes");
    }
    if (fields.maxAgeMs().orElse(0L) < 0) {
      return badValue("maxAgeMs is negative");
    }
    return timeoutMs(fields.timeoutMs())
        .flatMap(
            timeoutMs ->
                session(headers, fields.newSession())
                    .flatMap(
                        session ->
                            key(headers)
                                .map(
                                    key ->
                                        new StatementCall(
                                            service,
                                            parsed.statement(),
                                            parsed.access(),
                                            fields.idempotent().orElse(false),
                                            key,
                                            session,
                                            fields.maxAgeMs(),
                                            timeoutMs))));
  }

  /**
   * Returns the parsed request to begin a transaction.
   *
   * @param service the name of the service
   * @param headers the headers
   * @param body the bytes of the body, which may be empty
   * @return the call, or the fault
   */
  Result<BeginCall> begin(String service, CallerHeaders headers, byte[] body) {
    return bodies
        .parse(orEmptyObject(body), BeginBody.class)
        .flatMap(
            fields ->
                timeoutMs(fields.timeoutMs())
                    .flatMap(
                        timeoutMs ->
                            idleLimitMs(fields.idleLimitMs())
                                .flatMap(
                                    idleMs ->
                                        session(headers, fields.newSession())
                                            .map(
                                                session ->
                                                    new BeginCall(
                                                        service, session, idleMs, timeoutMs)))));
  }

  /**
   * Returns the statement that a request contains for an open transaction.
   *
   * @param service the name of the service
   * @param transaction the identifier of the transaction
   * @param headers the headers
   * @param body the bytes of the body
   * @return the step, or the fault
   */
  Result<Step> step(String service, String transaction, CallerHeaders headers, byte[] body) {
    return bodies
        .parse(body, StepBody.class)
        .flatMap(
            fields ->
                access(fields.access())
                    .flatMap(
                        access ->
                            statementText(fields.statement())
                                .flatMap(
                                    statement ->
                                        call(service, transaction, headers, fields.timeoutMs())
                                            .map(call -> new Step(call, access, statement)))));
  }

  /**
   * Returns the parsed request to commit or roll back a transaction.
   *
   * @param service the name of the service
   * @param transaction the identifier of the transaction
   * @param headers the headers
   * @param body the bytes of the body, which may be empty
   * @return the commit or rollback, or the fault
   */
  Result<End> end(String service, String transaction, CallerHeaders headers, byte[] body) {
    return bodies
        .parse(orEmptyObject(body), EndBody.class)
        .flatMap(
            fields ->
                call(service, transaction, headers, fields.timeoutMs())
                    .flatMap(call -> key(headers).map(key -> new End(call, key))));
  }

  /**
   * Returns the session of a request without a body.
   *
   * @param headers the headers
   * @return the session, or {@code BAD_TOKEN}
   */
  Result<SessionToken> session(CallerHeaders headers) {
    return session(headers, Optional.empty());
  }

  private Result<SessionToken> session(CallerHeaders headers, Optional<Boolean> newSession) {
    if (headers.session().isPresent()) {
      return tokens.decode(headers.session().get());
    }
    return Result.success(
        newSession.orElse(false) ? SessionToken.newSession() : SessionToken.empty());
  }

  private Result<TransactionCall> call(
      String service, String transaction, CallerHeaders headers, Optional<Long> requestedMs) {
    return timeoutMs(requestedMs)
        .flatMap(
            timeoutMs ->
                session(headers)
                    .map(session -> new TransactionCall(service, transaction, session, timeoutMs)));
  }

  private static byte[] orEmptyObject(byte[] body) {
    return body.length == 0 ? EMPTY_OBJECT : body;
  }

  private static Result<Optional<IdempotencyKey>> key(CallerHeaders headers) {
    return headers
        .key()
        .map(text -> IdempotencyKey.parse(text).map(Optional::of))
        .orElseGet(() -> Result.success(Optional.empty()));
  }

  private Result<Long> timeoutMs(Optional<Long> requestedMs) {
    return inRange(
        "timeoutMs", requestedMs.orElse(limits.defaultTimeoutMs()), limits.maxTimeoutMs());
  }

  private Result<Long> idleLimitMs(Optional<Long> requestedMs) {
    long defaultMs = Math.min(DEFAULT_IDLE_LIMIT_MS, limits.maxIdleMs());
    return inRange("idleLimitMs", requestedMs.orElse(defaultMs), limits.maxIdleMs());
  }

  private static Result<Long> inRange(String field, long value, long max) {
    return value < 1 || value > max
        ? badValue(field + " is not between 1 and " + max)
        : Result.success(value);
  }

  private static Result<String> statementText(Optional<String> statement) {
    return statement.filter(text -> !text.isBlank()).isEmpty()
        ? badValue("statement is missing or empty")
        : Result.success(statement.get());
  }

  private static Result<Access> access(Optional<String> access) {
    return switch (access.orElse("")) {
      case "read" -> Result.success(Access.READ);
      case "write" -> Result.success(Access.WRITE);
      default -> badValue("access is neither read nor write");
    };
  }

  private static <T> Result<T> badValue(String detail) {
    return Result.failure(ResultCode.BAD_VALUE, detail);
  }
}
