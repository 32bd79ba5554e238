package io.lycheejunction.standin;

import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.PlatformTable.PutOutcome;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.model.PlatformModel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Serves the platform's table, object store and VM list, with the injected faults.
 *
 * @param network maps the sender's address to its failure domain
 * @param platform the contents and faults of the platform
 * @param vms the VM list as each failure domain sees it
 */
record PlatformService(Network network, PlatformModel platform, VmList vms) {
  /** Time until the connection is closed after a request or its reply was lost. */
  private static final long NO_REPLY_HOLD_MS = 10_000;

  String domainOf(InetSocketAddress address) {
    return network.domainOf(address);
  }

  /** Returns the response, or empty if the request or its reply is lost. */
  Optional<Endpoint.Response> serve(InetSocketAddress from, PlatformMessage message)
      throws InterruptedException {
    String domain = domainOf(from);
    if (network.links().isPlatformCut(domain)) {
      return holdWithoutReply();
    }
    if (message instanceof PlatformMessage.ListVms) {
      return Optional.of(Endpoint.Response.ok(new PlatformAnswer.Vms(vms.seenFrom(domain))));
    }
    network.sleepMs(platform.slowMs());
    if (platform.isDown()) {
      Fault fault = Fault.of(ResultCode.STORE_UNAVAILABLE, "the platform is down");
      return Optional.of(Endpoint.Response.ok(new PlatformAnswer.Failed(fault)));
    }
    PlatformAnswer answer = answer(message);
    boolean dropped = isWrite(message) && platform.dropsNextReply();
    if (dropped || network.links().isPlatformCut(domain)) {
      return holdWithoutReply();
    }
    return Optional.of(Endpoint.Response.ok(answer));
  }

  private Optional<Endpoint.Response> holdWithoutReply() throws InterruptedException {
    network.sleepMs(NO_REPLY_HOLD_MS);
    return Optional.empty();
  }

  private static boolean isWrite(PlatformMessage message) {
    return message instanceof PlatformMessage.PutRow
        || message instanceof PlatformMessage.PutObject;
  }

  private PlatformAnswer answer(PlatformMessage message) {
    return switch (message) {
      case PlatformMessage.PutRow(String table, String key, String value) ->
          putAnswer(platform.putIfAbsent(table, new Row(key, value)));
      case PlatformMessage.GetRow(String table, String key) ->
          new PlatformAnswer.Rows(platform.row(table, key).stream().toList());
      case PlatformMessage.ScanRows(String table, String afterKey, int limit) ->
          new PlatformAnswer.Rows(platform.rows(table, afterKey, limit));
      case PlatformMessage.GetObject(String name) ->
          new PlatformAnswer.Content(platform.object(name));
      case PlatformMessage.PutObject(String name, String content) -> {
        platform.putObject(name, content);
        yield new PlatformAnswer.Names(List.of(name));
      }
      case PlatformMessage.ListObjects(String prefix) ->
          new PlatformAnswer.Names(platform.objectNames(prefix));
      case PlatformMessage.ListVms listVms -> new PlatformAnswer.Vms(platform.vms());
    };
  }

  private static PlatformAnswer putAnswer(PutOutcome outcome) {
    return switch (outcome) {
      case PutOutcome.Written written -> new PlatformAnswer.Put(Optional.empty());
      case PutOutcome.Exists(String value) -> new PlatformAnswer.Put(Optional.of(value));
    };
  }
}
