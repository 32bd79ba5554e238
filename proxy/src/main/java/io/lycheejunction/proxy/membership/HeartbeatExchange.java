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
 * Exchanges heartbeats with a bounded number of proxies per round, together with the configuration
 * rows that either side lacks.
 */
public final class HeartbeatExchange {
  /** The path of heartbeats. */
  public static final String PATH = "/peer/heartbeat";

  /** The path on which a proxy requests a snapshot of the configuration. */
  public static final String SNAPSHOT_PATH = "/peer/configuration";

  /** The number of proxies contacted per round, in addition to retries of failed ones. */
  public static final int PEERS_PER_ROUND = 1;

  /** The traffic limit of heartbeats in a large fleet, in bytes per second in both directions. */
  public static final int BUDGET_BYTES_PER_SECOND = 1_500;

  private static final EventLog LOG = EventLog.of(HeartbeatExchange.class);
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
  private final List<Vm> pendingPeers = new ArrayList<>();

  /**
   * Creates the heartbeat exchange and registers its handlers.
   *
   * @param membership the membership, updated by each exchange
   * @param log the configuration log
   * @param transport sends messages
   * @param routes the routes to add the handlers to
   * @param seedAddresses addresses to contact, as {@code ip:port}, while no other proxy is live
   */
  public HeartbeatExchange(
      Membership membership,
      ConfigurationLog log,
      PeerTransport transport,
      PeerRoutes routes,
      List<String> seedAddresses) {
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.seeds = seedAddresses.stream().map(a -> new Vm("", Vm.Kind.ENTRY, "", a, false)).toList();
    routes.add(PATH, HeartbeatMessage.class, this::handleHeartbeat);
    routes.add(SNAPSHOT_PATH, SnapshotQuery.class, this::handleSnapshotQuery);
  }

  /**
   * Returns the interval between two rounds.
   *
   * @param proxies the number of proxies in the fleet
   * @return the interval in milliseconds
   */
  public static long intervalMs(int proxies) {
    return proxies <= SMALL_FLEET_PROXIES ? SMALL_FLEET_INTERVAL_MS : LARGE_FLEET_INTERVAL_MS;
  }

  /** Runs one round: retries failed proxies and exchanges heartbeats with the next ones. */
  public synchronized void runRound() {
    List<Vm> previouslyFailed = List.copyOf(retries);
    retries.clear();
    previouslyFailed.forEach(this::exchange);
    for (int i = 0; i < PEERS_PER_ROUND; i++) {
      nextPeers().forEach(this::exchange);
    }
  }

  /**
   * Returns the next proxies to contact. Every proxy is chosen once, in random order, before any is
   * chosen again; a random seed address is added while no other proxy is live.
   */
  private List<Vm> nextPeers() {
    List<Vm> peers = membership.heartbeatPeers();
    List<Vm> chosen = new ArrayList<>();
    if (membership.fleetSize() == 1 && !seeds.isEmpty()) {
      chosen.add(seeds.get(membership.nextInt(seeds.size())));
    }
    pendingPeers.removeIf(vm -> !peers.contains(vm));
    if (pendingPeers.isEmpty()) {
      pendingPeers.addAll(peers);
    }
    if (!pendingPeers.isEmpty()) {
      chosen.add(pendingPeers.remove(membership.nextInt(pendingPeers.size())));
    }
    return chosen;
  }

  /**
   * Exchanges heartbeats with one proxy now.
   *
   * @param peer the proxy's entry VM
   */
  public void exchange(Vm peer) {
    HeartbeatMessage message = messageTo(peer.name(), List.of());
    transport
        .call(peer, PATH, message, HeartbeatMessage.class, TIMEOUT_MS)
        .fold(fault -> handleFailure(peer, fault), reply -> handleReply(peer, reply));
  }

  /**
   * Announces to a limited number of proxies, starting with those of the same failure domain, that
   * this proxy is leaving.
   */
  public void announceLeaving() {
    membership.apply(new MembershipEvent.ShutdownStarted());
    String domain = membership.self().failureDomain();
    membership.heartbeatPeers().stream()
        .sorted(Comparator.comparing((Vm vm) -> !vm.failureDomain().equals(domain)))
        .limit(MAX_ANNOUNCEMENTS)
        .forEach(this::exchange);
  }

  private HeartbeatMessage messageTo(String recipient, List<LogRow> rows) {
    return new HeartbeatMessage(membership.heartbeatTo(recipient), log.isAnswered(), rows);
  }

  private boolean handleFailure(Vm peer, Fault fault) {
    if (peer.name().isEmpty()) {
      return false;
    }
    if (fault.code() == ResultCode.NOT_HOLDER) {
      LOG.info("proxy_replaced", "vm", peer.name(), "address", peer.address());
      membership.apply(new MembershipEvent.VmReplaced(peer.name()));
      return false;
    }
    membership.apply(new MembershipEvent.HeartbeatUnanswered(peer.name()));
    int failures =
        membership.members().containsKey(peer.name())
            ? membership.members().get(peer.name()).failures()
            : 0;
    if (failures == 1) {
      addRetry(peer);
    }
    return false;
  }

  private synchronized void addRetry(Vm peer) {
    retries.add(peer);
  }

  private boolean handleReply(Vm peer, HeartbeatMessage reply) {
    applyMessage(reply);
    Vm sender = reply.heartbeat().sender();
    long peerVersion = reply.heartbeat().version();
    long ownVersion = log.applied().current().version();
    if (peerVersion < ownVersion) {
      pushRows(sender, peerVersion);
    } else if (peerVersion > ownVersion && reply.answered()) {
      pullSnapshot(sender, ownVersion);
    }
    return true;
  }

  private void applyMessage(HeartbeatMessage message) {
    membership.apply(new MembershipEvent.HeartbeatReceived(message.heartbeat()));
    message.rows().forEach(log.applied()::offer);
    long ownVersion = log.applied().current().version();
    if (message.answered() && ownVersion >= message.heartbeat().version()) {
      log.answeredByPeer();
    }
  }

  private void pushRows(Vm peer, long peerVersion) {
    List<LogRow> rows = log.applied().rowsAfter(peerVersion, MAX_ROW_CHARS);
    if (!rows.isEmpty()) {
      transport
          .call(peer, PATH, messageTo(peer.name(), rows), HeartbeatMessage.class, TIMEOUT_MS)
          .map(reply -> applyHeartbeat(reply.heartbeat()));
    }
  }

  private Heartbeat applyHeartbeat(Heartbeat heartbeat) {
    membership.apply(new MembershipEvent.HeartbeatReceived(heartbeat));
    return heartbeat;
  }

  /**
   * Requests a snapshot, since the peer no longer keeps the missing rows or they exceed one
   * message.
   */
  private void pullSnapshot(Vm peer, long ownVersion) {
    if (log.applied().poisonedRow().isPresent()) {
      return;
    }
    transport
        .call(peer, SNAPSHOT_PATH, new SnapshotQuery(ownVersion), Snapshot.class, TIMEOUT_MS)
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

  private Result<HeartbeatMessage> handleHeartbeat(HeartbeatMessage message) {
    String recipient = message.heartbeat().recipient();
    if (!recipient.isEmpty() && !recipient.equals(membership.self().name())) {
      return Result.failure(
          ResultCode.NOT_HOLDER,
          "heartbeat reached " + membership.self().name() + ", not its recipient " + recipient);
    }
    applyMessage(message);
    String sender = message.heartbeat().sender().name();
    List<LogRow> missing = log.applied().rowsAfter(message.heartbeat().version(), MAX_ROW_CHARS);
    return Result.success(messageTo(sender, missing));
  }

  private Result<Snapshot> handleSnapshotQuery(SnapshotQuery query) {
    return log.isAnswered()
        ? Result.success(log.applied().snapshot())
        : Result.failure(
            ResultCode.STORE_UNAVAILABLE, "no source of the configuration has answered yet");
  }
}
