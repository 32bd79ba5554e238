package io.lycheejunction.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Vm;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Client of the platform stand-in: reads groups and ledgers, registers VMs and sets faults. */
public final class PlatformClient {
  private static final long TIMEOUT_MS = 10_000;

  /**
   * A group that the stand-in runs.
   *
   * @param name the name of the group
   * @param slots the number of statements that a target runs concurrently
   * @param connections the maximum number of sessions of a target
   * @param targets the targets of the group
   */
  public record Group(String name, int slots, int connections, List<TargetSpec> targets) {
    /** Copies the targets. */
    public Group {
      targets = List.copyOf(targets);
    }
  }

  /**
   * A row of a ledger.
   *
   * @param key the key
   * @param value the value as text
   */
  public record Row(String key, String value) {}

  private final BlockingHttpClient http;
  private final String address;

  /**
   * Creates a client.
   *
   * @param http the client that sends the requests
   * @param address the stand-in's address as {@code ip:port}
   */
  public PlatformClient(BlockingHttpClient http, String address) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.address = Objects.requireNonNull(address, "address is null");
  }

  /**
   * Returns the groups that the stand-in runs.
   *
   * @return the groups, in the order in which they were created
   */
  public List<Group> groups() {
    List<Group> groups = new ArrayList<>();
    call("GET", "/groups", "").forEach(node -> groups.add(read(node, Group.class)));
    return groups;
  }

  /**
   * Returns the rows of a ledger on the group's primary.
   *
   * @param group the name of the group
   * @param ledger the name of the ledger
   * @return the rows
   */
  public List<Row> ledger(String group, String ledger) {
    List<Row> rows = new ArrayList<>();
    call("GET", "/groups/" + group + "/ledger/" + ledger, "")
        .forEach(node -> rows.add(read(node, Row.class)));
    return rows;
  }

  /**
   * Adds a VM to the platform's list of VMs.
   *
   * @param vm the VM to register
   */
  public void register(Vm vm) {
    call("POST", "/vms", Json.write(vm));
  }

  /**
   * Injects a fault into the stand-in.
   *
   * @param name the kind of the fault, which is the last part of the request path
   * @param body the parameters of the fault as a JSON object
   */
  public void injectFault(String name, String body) {
    call("POST", "/faults/" + name, body);
  }

  private JsonNode call(String method, String path, String body) {
    HttpReply reply = http.send(method, address, path, body, List.of(), TIMEOUT_MS);
    String text =
        reply
            .okBody()
            .orElseThrow(() -> new IllegalStateException(method + " " + path + ": " + reply));
    return read(text);
  }

  private static JsonNode read(String text) {
    return Json.read(text, JsonNode.class)
        .fold(
            fault -> {
              throw new IllegalStateException(fault.detail());
            },
            json -> json);
  }

  private static <T> T read(JsonNode node, Class<T> type) {
    return Json.MAPPER.convertValue(node, type);
  }
}
