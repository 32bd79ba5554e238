package io.lycheejunction.bench.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.ProxySettings;
import io.lycheejunction.proxy.ProxyTree;
import io.lycheejunction.proxy.caller.CallerLimits;
import io.lycheejunction.proxy.group.GroupSettings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** A complete proxy, to which operator commands are sent over HTTP. */
final class FullNode implements ConfigNode {
  private static final long REQUEST_TIMEOUT_MS = 20_000;
  private static final String SESSION_KEY = "a session key for the bench only";

  private final Vm vm;
  private final BlockingHttpClient http;
  private final ProxyTree tree;

  FullNode(String name, String domain, String ip, String platformAddress, BlockingHttpClient http) {
    this.http = http;
    this.vm = new Vm(name, Vm.Kind.ENTRY, domain, ip + ":" + freePort(ip), false);
    ProxySettings settings =
        new ProxySettings(
            name,
            domain,
            vm.address(),
            platformAddress,
            List.of(),
            0,
            GroupSettings.standard(),
            CallerLimits.defaults());
    Result<TokenCodec> tokenCodec = TokenCodec.of(SESSION_KEY.getBytes(StandardCharsets.UTF_8));
    this.tree = new ProxyTree(settings, tokenCodec.getOrElse(null), new SystemRuntimeClock());
  }

  private static int freePort(String ip) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot bind a free port on " + ip, e);
    }
  }

  /** Returns the entry VM under which the proxy is registered with the platform. */
  Vm vm() {
    return vm;
  }

  void start() throws InterruptedException {
    tree.root().start();
  }

  @Override
  public String domain() {
    return vm.failureDomain();
  }

  @Override
  public long version() {
    return runForTable("show config")
        .map(reply -> reply.findPath("version").asLong(-1))
        .orElse(-1L);
  }

  private Optional<JsonNode> runForTable(String command) {
    return run(new OperatorRequest(command, Optional.empty(), Optional.empty(), false, false))
        .table();
  }

  @Override
  public OperatorReply run(OperatorRequest request) {
    HttpReply reply =
        http.send(
            "POST",
            vm.address(),
            "/v1/operator",
            Json.write(request),
            List.of(),
            REQUEST_TIMEOUT_MS);
    return reply instanceof HttpReply.Answer(int status, String body)
        ? Json.read(body, OperatorReply.class)
            .fold(
                fault -> OperatorReply.failed(fault, Optional.empty()),
                operatorReply -> operatorReply)
        : OperatorReply.failed(
            Fault.of(ResultCode.PEER_UNREACHABLE, reply.toString()), Optional.empty());
  }

  @Override
  public void close() {
    tree.root().stop();
  }
}
