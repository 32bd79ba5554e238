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

/** Serves the platform, the groups' contents and the control of faults on one port. */
final class PlatformServer {
  private static final String REMOVE_PATH = "/vms/remove";
  private static final String TARGET_QUERY = "target=";
  private static final int GROUP_PART = 2;
  private static final int KIND_PART = 3;
  private static final int NAME_PART = 4;

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

  Optional<Endpoint.Answer> handle(HttpExchange exchange, String body) throws InterruptedException {
    String path = exchange.getRequestURI().getPath();
    try {
      if (path.equals(PlatformMessage.PATH)) {
        PlatformMessage message = Json.STRICT.readValue(body, PlatformMessage.class);
        return service.serve(exchange.getRemoteAddress(), message);
      }
      return Optional.of(
          exchange.getRequestMethod().equals("GET") ? get(exchange, path) : post(path, body));
    } catch (JsonProcessingException e) {
      return Optional.of(bad(e.getOriginalMessage()));
    } catch (IllegalArgumentException e) {
      return Optional.of(bad(String.valueOf(e.getMessage())));
    }
  }

  private static Endpoint.Answer bad(String detail) {
    return new Endpoint.Answer(400, Json.write(Fault.of(ResultCode.BAD_VALUE, detail)));
  }

  private Endpoint.Answer get(HttpExchange exchange, String path) {
    if (path.equals("/groups")) {
      return Endpoint.Answer.ok(groups.list());
    }
    if (path.equals("/vms")) {
      return Endpoint.Answer.ok(vms.seenFrom(service.domainOf(exchange.getRemoteAddress())));
    }
    String[] parts = path.split("/");
    if (parts.length != NAME_PART + 1) {
      throw new IllegalArgumentException("unknown path " + path);
    }
    GroupModel group =
        groups
            .group(parts[GROUP_PART])
            .orElseThrow(() -> new IllegalArgumentException("unknown group"));
    return switch (parts[KIND_PART]) {
      case "log" -> Endpoint.Answer.ok(group.log(parts[NAME_PART]));
      case "ledger" -> Endpoint.Answer.ok(group.ledger(source(exchange, group), parts[NAME_PART]));
      default -> throw new IllegalArgumentException("unknown path " + path);
    };
  }

  private static String source(HttpExchange exchange, GroupModel group) {
    String query = String.valueOf(exchange.getRequestURI().getQuery());
    return query.startsWith(TARGET_QUERY)
        ? query.substring(TARGET_QUERY.length())
        : group.primary().orElseThrow(() -> new IllegalArgumentException("no running primary"));
  }

  private Endpoint.Answer post(String path, String body) throws JsonProcessingException {
    if (path.startsWith(FaultMessage.PATH)) {
      faults.set(fault(path.substring(FaultMessage.PATH.length()), body));
      return Endpoint.Answer.ok(true);
    }
    return switch (path) {
      case "/groups" ->
          Endpoint.Answer.ok(groups.create(Json.STRICT.readValue(body, GroupSettings.class)));
      case "/vms" -> {
        platform.putVm(Json.STRICT.readValue(body, Vm.class));
        yield Endpoint.Answer.ok(true);
      }
      case REMOVE_PATH -> {
        platform.removeVm(Json.STRICT.readTree(body).path("name").asText());
        yield Endpoint.Answer.ok(true);
      }
      default -> throw new IllegalArgumentException("unknown path " + path);
    };
  }

  private static FaultMessage fault(String name, String body) throws JsonProcessingException {
    JsonNode fields = Json.STRICT.readTree(body.isEmpty() ? "{}" : body);
    if (!(fields instanceof ObjectNode object)) {
      throw new IllegalArgumentException("the body is not an object");
    }
    return Json.STRICT.treeToValue(object.put("op", name), FaultMessage.class);
  }
}
