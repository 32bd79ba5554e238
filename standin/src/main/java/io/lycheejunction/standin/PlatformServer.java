package io.lycheejunction.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.PlatformModel;
import java.util.Optional;

/** Serves the platform, the groups' ledgers and logs, and fault injection on one port. */
final class PlatformServer {
  private static final String REMOVE_PATH = "/vms/remove";
  private static final String TARGET_PARAMETER = "target=";
  private static final int GROUP_SEGMENT = 2;
  private static final int KIND_SEGMENT = 3;
  private static final int NAME_SEGMENT = 4;

  private final PlatformService service;
  private final PlatformModel platform;
  private final Groups groups;
  private final Faults faults;
  private final VmList vms;

  PlatformServer(
      PlatformService service, PlatformModel platform, Groups groups, Faults faults, VmList vms) {
    this.service = service;
    this.platform = platform;
    this.groups = groups;
    this.faults = faults;
    this.vms = vms;
  }

  Optional<Endpoint.Response> handle(HttpExchange exchange, String body)
      throws InterruptedException {
    String path = exchange.getRequestURI().getPath();
    try {
      if (path.equals(PlatformMessage.PATH)) {
        PlatformMessage message = Json.STRICT.readValue(body, PlatformMessage.class);
        return service.serve(exchange.getRemoteAddress(), message);
      }
      return Optional.of(
          exchange.getRequestMethod().equals("GET") ? get(exchange, path) : post(path, body));
    } catch (JsonProcessingException e) {
      return Optional.of(badRequest(e.getOriginalMessage()));
    } catch (IllegalArgumentException e) {
      return Optional.of(badRequest(String.valueOf(e.getMessage())));
    }
  }

  private static Endpoint.Response badRequest(String detail) {
    return new Endpoint.Response(400, Json.write(Fault.of(ResultCode.BAD_VALUE, detail)));
  }

  private Endpoint.Response get(HttpExchange exchange, String path) {
    if (path.equals("/groups")) {
      return Endpoint.Response.ok(groups.list());
    }
    if (path.equals("/vms")) {
      return Endpoint.Response.ok(vms.seenFrom(service.domainOf(exchange.getRemoteAddress())));
    }
    String[] segments = path.split("/");
    if (segments.length != NAME_SEGMENT + 1) {
      throw new IllegalArgumentException("unknown path " + path);
    }
    GroupModel group =
        groups
            .group(segments[GROUP_SEGMENT])
            .orElseThrow(() -> new IllegalArgumentException("unknown group"));
    return switch (segments[KIND_SEGMENT]) {
      case "log" -> Endpoint.Response.ok(group.log(segments[NAME_SEGMENT]));
      case "ledger" ->
          Endpoint.Response.ok(group.ledger(ledgerTarget(exchange, group), segments[NAME_SEGMENT]));
      default -> throw new IllegalArgumentException("unknown path " + path);
    };
  }

  private static String ledgerTarget(HttpExchange exchange, GroupModel group) {
    String query = String.valueOf(exchange.getRequestURI().getQuery());
    return query.startsWith(TARGET_PARAMETER)
        ? query.substring(TARGET_PARAMETER.length())
        : group
            .primary()
            .orElseThrow(() -> new IllegalArgumentException("the group has no running primary"));
  }

  private Endpoint.Response post(String path, String body) throws JsonProcessingException {
    if (path.startsWith(FaultMessage.PATH)) {
      faults.apply(parseFault(path.substring(FaultMessage.PATH.length()), body));
      return Endpoint.Response.ok(true);
    }
    return switch (path) {
      case "/groups" ->
          Endpoint.Response.ok(groups.create(Json.STRICT.readValue(body, GroupSettings.class)));
      case "/vms" -> {
        platform.putVm(Json.STRICT.readValue(body, Vm.class));
        yield Endpoint.Response.ok(true);
      }
      case REMOVE_PATH -> {
        platform.removeVm(Json.STRICT.readTree(body).path("name").asText());
        yield Endpoint.Response.ok(true);
      }
      default -> throw new IllegalArgumentException("unknown path " + path);
    };
  }

  private static FaultMessage parseFault(String name, String body) throws JsonProcessingException {
    JsonNode fields = Json.STRICT.readTree(body.isEmpty() ? "{}" : body);
    if (!(fields instanceof ObjectNode object)) {
      throw new IllegalArgumentException("the request body is not a JSON object");
    }
    return Json.STRICT.treeToValue(object.put("op", name), FaultMessage.class);
  }
}
