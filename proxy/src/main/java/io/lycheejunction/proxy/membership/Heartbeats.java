package io.lycheejunction.proxy.membership;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.membership.Heartbeat;
import io.lycheejunction.core.membership.MembershipEvent;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.configuration.LogRow;
import io.lycheejunction.proxy.configuration.Snapshot;
import io.lycheejunction.proxy.forward.PeerRoutes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * Exchanges heartbeats with a bounded number of proxies a round, and with them the configuration
 * rows that either side lacks.
 */
public final class Heartbeats {
  /** The path of heartbeats. */
  public static final String PATH = "/peer/heartbeat";

  /** The path on which a proxy asks for the whole configuration. */
  public static final String SNAPSHOT_PATH = "/peer/configuration";

  /** The proxies that one round exchanges heartbeats with, besides those that just failed. */
  public static final int FANOUT = 1;

  /** The bytes a second that heartbeats may take in a large fleet, both directions together. */
  public static final int BUDGET_BYTES_PER_SECOND = 1_500;

  private static final EventLog LOG = EventLog.of(Heartbeats.class);
  private static final int SMALL_FLEET_PROXIES = 16;
  private static final long SMALL_FLEET_INTERVAL_MS = 1_000;
  private static final long LARGE_FLEET_INTERVAL_MS = 2_000;
  private static final int MAX_ANNOUNCEMENTS = 6;
  private static final long TIMEOUT_MS = 800;
  private static final int MAX_ROW_CHARS = 8_192;

  private final Membership membership;
  private final ConfigurationLog log;
  private final PeerTransport transport;
  private final List<Vm> seeds;
  private final List<Vm> retries = new ArrayList<>();
  private final List<Vm> queue = new ArrayList<>();

  /**
   * Creates the heartbeats and adds their handlers.
   *
   * @param membership receives what is heard
   * @param log the configuration log
   * @param transport sends messages
   * @param routes receives the handlers
   * @param seedAddresses addresses to ask, as {@code ip:port}, while no other proxy is known
   */
  public Heartbeats(
      Membership membership,
      ConfigurationLog log,
      PeerTransport transport,
      PeerRoutes routes,
      List<String> seedAddresses) {
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.seeds = seedAddresses.stream().map(a -> new Vm("", Vm.Kind.ENTRY, "", a, false)).toList();
    routes.add(PATH, HeartbeatMessage.class, this::receive);
    routes.add(SNAPSHOT_PATH, SnapshotQuery.class, this::snapshot);
  }

  /**
   * Returns the time between two rounds.
   *
   * @param proxies the number of proxies
   * @return the interval in milliseconds
   */
  public static long intervalMs(int proxies) {
    return proxies <= SMALL_FLEET_PROXIES ? SMALL_FLEET_INTERVAL_MS : LARGE_FLEET_INTERVAL_MS;
  }

  /** Exchanges heartbeats with the next proxies. */
  public synchronized void round() {
    List<Vm> again = List.copyOf(retries);
    retries.clear();
    again.forEach(this::exchange);
    for (int i = 0; i < FANOUT; i++) {
      next().forEach(this::exchange);
    }
  }

  /**
   * Returns whose turn it is: each proxy once before any again, in an order drawn anew, and a seed
   * while no other proxy is live.
   */
  private List<Vm> next() {
    List<Vm> partners = membership.partners();
    List<Vm> next = new ArrayList<>();
    if (membership.fleetSize() == 1 && !seeds.isEmpty()) {
      next.add(seeds.get(membership.draw(seeds.size())));
    }
    queue.removeIf(vm -> !partners.contains(vm));
    if (queue.isEmpty()) {
      queue.addAll(partners);
    }
    if (!queue.isEmpty()) {
      next.add(queue.remove(membership.draw(queue.size())));
    }
    return next;
  }

  /**
   * Exchanges heartbeats with one proxy now.
   *
   * @param peer the proxy's entry VM
   */
  public void exchange(Vm peer) {
    HeartbeatMessage message = message(peer.name(), List.of());
    transport
        .call(peer, PATH, message, HeartbeatMessage.class, TIMEOUT_MS)
        .fold(fault -> failed(peer, fault), reply -> answered(peer, reply));
  }

  /** Tells a bounded number of proxies, those of the own failure domain first, that this leaves. */
  public void announceLeaving() {
    membership.apply(new MembershipEvent.SelfLeaving());
    String domain = membership.self().failureDomain();
    membership.partners().stream()
        .sorted(Comparator.comparing((Vm vm) -> !vm.failureDomain().equals(domain)))
        .limit(MAX_ANNOUNCEMENTS)
        .forEach(this::exchange);
  }

  private HeartbeatMessage message(String recipient, List<LogRow> rows) {
    return new HeartbeatMessage(membership.heartbeatTo(recipient), log.isAnswered(), rows);
  }

  private boolean failed(Vm peer, Fault fault) {
    if (peer.name().isEmpty()) {
      return false;
    }
    if (fault.code() == ResultCode.NOT_HOLDER) {
      LOG.info("proxy_replaced", "vm", peer.name(), "address", peer.address());
      membership.apply(new MembershipEvent.Replaced(peer.name()));
      return false;
    }
    membership.apply(new MembershipEvent.Silent(peer.name()));
    int failures =
        membership.members().containsKey(peer.name())
            ? membership.members().get(peer.name()).failures()
            : 0;
    if (failures == 1) {
      retryLater(peer);
    }
    return false;
  }

  private synchronized void retryLater(Vm peer) {
    retries.add(peer);
  }

  private boolean answered(Vm peer, HeartbeatMessage reply) {
    learn(reply);
    Vm known = reply.heartbeat().sender();
    long theirs = reply.heartbeat().version();
    long ours = log.applied().current().version();
    if (theirs < ours) {
      pushRows(known, theirs);
    } else if (theirs > ours && reply.answered()) {
      pullSnapshot(known, ours);
    }
    return true;
  }

  private void learn(HeartbeatMessage message) {
    membership.apply(new MembershipEvent.Heard(message.heartbeat()));
    message.rows().forEach(log.applied()::offer);
    long ours = log.applied().current().version();
    if (message.answered() && ours >= message.heartbeat().version()) {
      log.answeredByPeer();
    }
  }

  private void pushRows(Vm peer, long theirs) {
    List<LogRow> rows = log.applied().rowsAfter(theirs, MAX_ROW_CHARS);
    if (!rows.isEmpty()) {
      transport
          .call(peer, PATH, message(peer.name(), rows), HeartbeatMessage.class, TIMEOUT_MS)
          .map(reply -> hear(reply.heartbeat()));
    }
  }

  private Heartbeat hear(Heartbeat heartbeat) {
    membership.apply(new MembershipEvent.Heard(heartbeat));
    return heartbeat;
  }

  /** The peer has rows that it no longer keeps, or more than one message takes. */
  private void pullSnapshot(Vm peer, long ours) {
    if (log.applied().poison().isPresent()) {
      return;
    }
    transport
        .call(peer, SNAPSHOT_PATH, new SnapshotQuery(ours), Snapshot.class, TIMEOUT_MS)
        .map(
            snapshot -> {
              if (snapshot.schema() == Snapshot.SCHEMA && log.applied().install(snapshot)) {
                LOG.info(
                    "configuration_from_peer",
                    "vm",
                    peer.name(),
                    "version",
                    snapshot.configuration().version());
              }
              log.answeredByPeer();
              return snapshot;
            });
  }

  private Result<HeartbeatMessage> receive(HeartbeatMessage message) {
    String recipient = message.heartbeat().recipient();
    if (!recipient.isEmpty() && !recipient.equals(membership.self().name())) {
      return Result.failure(
          ResultCode.NOT_HOLDER, "this is " + membership.self().name() + ", not " + recipient);
    }
    learn(message);
    String sender = message.heartbeat().sender().name();
    List<LogRow> missing = log.applied().rowsAfter(message.heartbeat().version(), MAX_ROW_CHARS);
    return Result.success(message(sender, missing));
  }

  private Result<Snapshot> snapshot(SnapshotQuery query) {
    return log.isAnswered()
        ? Result.success(log.applied().snapshot())
        : Result.failure(ResultCode.STORE_UNAVAILABLE, "no source of the configuration answered");
  }
}
