package io.lycheejunction.proxy.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.access.RequiredAccess;
import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationRules;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.language.ConditionalStatement;
import io.lycheejunction.core.language.OperatorLanguage;
import io.lycheejunction.core.language.Statement;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.configuration.ChangeId;
import io.lycheejunction.proxy.configuration.ChangeRequest;
import io.lycheejunction.proxy.configuration.ConfigurationWriter;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.membership.Membership;
import io.lycheejunction.proxy.membership.VmListPoller;
import io.micronaut.http.HttpStatus;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

/** Runs operators' statements. */
public final class OperatorEndpoint {
  /** The path of the message that asks a proxy to shut down. */
  public static final String SHUTDOWN_PATH = "/peer/shutdown";

  private static final long SHUTDOWN_TIMEOUT_MS = 2_000;
  private static final int MAX_BODY_CHARS = 32_768;

  private final Services services;
  private final ShowTables tables;
  private final Rollout rollout;

  /**
   * The parts that the statements act on.
   *
   * @param writer writes changes to the configuration log
   * @param membership the live proxies and leaving targets
   * @param vmListPoll notifies the holder of a target that is drained
   * @param transport sends messages to other proxies
   * @param promotion promotes targets
   * @param shutdown shuts this proxy down
   * @param ids generates identifiers for changes that are submitted without one
   */
  public record Services(
      ConfigurationWriter writer,
      Membership membership,
      VmListPoller vmListPoll,
      PeerTransport transport,
      Promotion promotion,
      GracefulShutdown shutdown,
      Supplier<String> ids) {
    /** Rejects null components. */
    public Services {
      Objects.requireNonNull(writer, "writer is null");
      Objects.requireNonNull(membership, "membership is null");
      Objects.requireNonNull(vmListPoll, "vmListPoll is null");
      Objects.requireNonNull(transport, "transport is null");
      Objects.requireNonNull(promotion, "promotion is null");
      Objects.requireNonNull(shutdown, "shutdown is null");
      Objects.requireNonNull(ids, "ids is null");
    }
  }

  /**
   * Creates the endpoint and registers its handler of shutdown requests from other proxies.
   *
   * @param services the parts that the statements act on
   * @param tables the tables of {@code show} statements
   * @param rollout tracks on which proxies a version is in force
   * @param routes the routes to register the handler with
   */
  OperatorEndpoint(Services services, ShowTables tables, Rollout rollout, PeerRoutes routes) {
    this.services = Objects.requireNonNull(services, "services is null");
    this.tables = Objects.requireNonNull(tables, "tables is null");
    this.rollout = Objects.requireNonNull(rollout, "rollout is null");
    routes.add(SHUTDOWN_PATH, ShutdownOrder.class, this::receiveShutdown);
  }

  /**
   * A request to a proxy to shut down.
   *
   * @param proxy the name of its entry VM
   */
  record ShutdownOrder(String proxy) {
    /** Rejects a null name. */
    ShutdownOrder {
      Objects.requireNonNull(proxy, "proxy is null");
    }
  }

  private static OperatorReply refused(Fault fault) {
    return OperatorReply.failed(fault, Optional.empty());
  }

  static HttpStatus httpStatus(OperatorReply reply) {
    return HttpStatus.valueOf(ResultCode.valueOf(reply.name()).httpStatus());
  }

  /**
   * Returns the answer to a request, without checking a credential.
   *
   * <p>Errors are reported in the answer's result code.
   *
   * @param body the JSON text of the request
   * @return the answer
   */
  OperatorReply answer(String body) {
    return answer(body, need -> Optional.empty());
  }

  /**
   * Returns the answer to a request, after checking the credential of the request.
   *
   * @param body the JSON text of the request
   * @param refusal returns the fault if the request's credential does not grant what a statement
   *     needs, empty if it does
   * @return the answer
   */
  OperatorReply answer(String body, Function<RequiredAccess, Optional<Fault>> refusal) {
    if (body.length() > MAX_BODY_CHARS) {
      return refused(
          Fault.of(
              ResultCode.BODY_TOO_LARGE,
              body.length() + " characters; allowed: " + MAX_BODY_CHARS));
    }
    return read(body).fold(OperatorEndpoint::refused, request -> answer(request, refusal));
  }

  /**
   * Returns the answer to a request, without checking a credential.
   *
   * @param request the request
   * @return the answer
   */
  public OperatorReply answer(OperatorRequest request) {
    return answer(request, need -> Optional.empty());
  }

  private OperatorReply answer(
      OperatorRequest request, Function<RequiredAccess, Optional<Fault>> refusal) {
    return OperatorLanguage.parseToResult(request.command())
        .fold(
            OperatorEndpoint::refused,
            input ->
                refusal
                    .apply(RequiredAccess.of(input.statement()))
                    .map(OperatorEndpoint::refused)
                    .orElseGet(() -> run(request, input)));
  }

  /**
   * Parses a request and refuses unknown fields: ignoring a misspelt {@code dryRun}, for example,
   * would run the change.
   */
  private static Result<OperatorRequest> read(String body) {
    try {
      OperatorRequest request = Json.STRICT.readValue(body, OperatorRequest.class);
      return request == null
          ? Result.failure(ResultCode.BAD_JSON, "the body is null")
          : Result.success(request);
    } catch (UnrecognizedPropertyException e) {
      return Result.failure(ResultCode.UNKNOWN_FIELD, "no field " + e.getPropertyName());
    } catch (JsonProcessingException e) {
      return Result.failure(ResultCode.BAD_JSON, e.getOriginalMessage());
    }
  }

  private OperatorReply run(OperatorRequest request, ConditionalStatement input) {
    return switch (input.statement()) {
      case Statement.Show show -> show(show);
      case Statement.ShowChange(String id) -> showChange(id);
      case Statement.Submit(Change change) -> {
        Optional<Long> ifVersion = input.ifVersion().or(request::ifVersion);
        yield request.dryRun() ? preview(change, ifVersion) : submit(request, change, ifVersion);
      }
      case Statement.Shutdown(String proxy) ->
          request.dryRun()
              ? OperatorReply.done("would shut down " + proxy)
              : replyOf(shutdown(proxy));
      case Statement.Promote(String target) -> promote(target, request.dryRun());
    };
  }

  private static OperatorReply replyOf(Result<String> result) {
    return result.fold(OperatorEndpoint::refused, OperatorReply::done);
  }

  private OperatorReply show(Statement.Show show) {
    return tables
        .find(show.subject())
        .map(table -> table.select(show))
        .orElseGet(
            () -> Result.failure(ResultCode.BAD_VALUE, "this proxy has no table " + show.subject()))
        .fold(
            OperatorEndpoint::refused,
            table -> OperatorReply.shown(table.toText(), TableJson.of(table)));
  }

  private OperatorReply showChange(String id) {
    return services
        .writer()
        .find(id)
        .fold(
            fault -> OperatorReply.failed(fault, Optional.of(id)), found -> accepted(found, false));
  }

  private OperatorReply accepted(ChangeId change, boolean awaitRollout) {
    RolloutStatus status =
        awaitRollout ? rollout.await(change.version()) : rollout.status(change.version());
    return OperatorReply.accepted(
        "change %s accepted as version %d; %s"
            .formatted(change.id(), change.version(), status.describe()),
        change.id(),
        change.version(),
        status.inForce(),
        status.notReached());
  }

  private OperatorReply submit(OperatorRequest request, Change change, Optional<Long> ifVersion) {
    String id = request.changeId().orElseGet(services.ids());
    Result<ChangeId> written = services.writer().submit(new ChangeRequest(id, change, ifVersion));
    if (!written.isEmpty() && change instanceof Change.DrainTarget drain && drain.drained()) {
      services.vmListPoll().notifyHolder(drain.target());
    }
    return written.fold(
        fault -> OperatorReply.failed(fault, Optional.of(id)),
        accepted -> accepted(accepted, request.awaitRollout()));
  }

  private OperatorReply preview(Change change, Optional<Long> ifVersion) {
    Configuration before = services.writer().current();
    if (ifVersion.isPresent() && ifVersion.get() != before.version()) {
      return refused(
          Fault.of(
              ResultCode.VERSION_CONFLICT, "the configuration is at version " + before.version()));
    }
    return ConfigurationRules.apply(before, change)
        .fold(
            OperatorEndpoint::refused,
            after -> OperatorReply.done(ConfigurationDiff.describe(before, after)));
  }

  private Result<String> shutdown(String proxy) {
    if (proxy.equals(services.membership().self().name())) {
      return beginShutdown();
    }
    Optional<Vm> vm = services.membership().find(proxy);
    return vm.isEmpty()
        ? Result.failure(ResultCode.BAD_VALUE, "no proxy " + proxy)
        : services
            .transport()
            .call(
                vm.get(),
                SHUTDOWN_PATH,
                new ShutdownOrder(proxy),
                String.class,
                SHUTDOWN_TIMEOUT_MS);
  }

  private Result<String> receiveShutdown(ShutdownOrder order) {
    String self = services.membership().self().name();
    return order.proxy().equals(self)
        ? beginShutdown()
        : Result.failure(ResultCode.NOT_HOLDER, "this proxy is " + self);
  }

  private Result<String> beginShutdown() {
    String self = services.membership().self().name();
    boolean first = services.shutdown().begin("operator");
    String waiting = services.shutdown().waitingFor();
    return Result.success(
        self
            + (first ? " is shutting down" : " is shutting down already")
            + (waiting.isEmpty() ? "" : "; waiting for " + waiting));
  }

  private OperatorReply promote(String target, boolean dryRun) {
    Optional<GroupSpec> group = services.writer().current().groupOfTarget(target);
    if (group.isEmpty()) {
      return refused(Fault.of(ResultCode.BAD_VALUE, "no target " + target));
    }
    String name = group.get().name();
    return dryRun
        ? OperatorReply.done("would promote " + target + " to the primary of " + name)
        : replyOf(services.promotion().promote(name, target));
  }
}
