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

/** Serves the platform's table, object store and VM list with their faults. */
record PlatformService(Network network, PlatformModel platform, VmList vms) {
  private static final long HOLD_MS = 10_000;

  String domainOf(InetSocketAddress address) {
    return network.domainOf(address);
  }

  Optional<Endpoint.Answer> serve(InetSocketAddress from, PlatformMessage message)
      throws InterruptedException {
    String domain = domainOf(from);
    if (network.links().isPlatformCut(domain)) {
      return hold();
    }
    if (message instanceof PlatformMessage.ListVms) {
      return Optional.of(Endpoint.Answer.ok(new PlatformAnswer.Vms(vms.seenFrom(domain))));
    }
    network.sleepMs(platform.slowMs());
    if (platform.isDown()) {
      Fault fault = Fault.of(ResultCode.STORE_UNAVAILABLE, "the platform is down");
      return Optional.of(Endpoint.Answer.ok(new PlatformAnswer.Failed(fault)));
    }
    PlatformAnswer answer = answer(message);
    boolean lost = writes(message) && platform.losesReply();
    if (lost || network.links().isPlatformCut(domain)) {
      return hold();
    }
    return Optional.of(Endpoint.Answer.ok(answer));
  }

  private Optional<Endpoint.Answer> hold() throws InterruptedException {
    network.sleepMs(HOLD_MS);
    return Optional.empty();
  }

  private static boolean writes(PlatformMessage message) {
    return message instanceof PlatformMessage.PutRow
        || message instanceof PlatformMessage.PutObject;
  }

  private PlatformAnswer answer(PlatformMessage message) {
    return switch (message) {
      case PlatformMessage.PutRow(String table, String key, String value) ->
          put(platform.putIfAbsent(table, new Row(key, value)));
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
      case PlatformMessage.ListVms list -> new PlatformAnswer.Vms(platform.vms());
    };
  }

  private static PlatformAnswer put(PutOutcome outcome) {
    return switch (outcome) {
      case PutOutcome.Written written -> new PlatformAnswer.Put(Optional.empty());
      case PutOutcome.Exists(String value) -> new PlatformAnswer.Put(Optional.of(value));
    };
  }
}
