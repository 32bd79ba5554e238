package io.lycheejunction.gateway.quota;

import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Decides when to ask which holder for tokens.
 *
 * <p>A holder is sent at most one request in {@link #INTERVAL_MS}, for all organisations together,
 * and only one at a time. One that had too few tokens is not asked for that organisation again for
 * a while, and one that did not answer is not asked at all.
 */
final class QuotaRefill {
  /** The minimum interval between two requests to the same holder, in milliseconds. */
  static final long INTERVAL_MS = 50;

  /** How long a holder is not asked that has not answered, in milliseconds. */
  static final long SILENT_MS = 1_000;

  /** The most organisations in one request. */
  static final int MAX_ORGANISATIONS = 32;

  /** So far back that the difference to the present time does not overflow. */
  private static final long NEVER_SENT = Long.MIN_VALUE / 2;

  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 1_000;

  /** The part of the wanted tokens that a holder is expected to give after another had too few. */
  private static final double PART_EXPECTED_AGAIN = 0.34;

  /** Smaller amounts are not worth a request. */
  private static final double MIN_TOKENS = 0.01;

  private record Backoff(long untilMs, long delayMs) {}

  /** Another holder. */
  private static final class Peer {
    private final String vm;
    private final Map<String, Double> pending = new LinkedHashMap<>();
    private final Set<String> requested = new HashSet<>();
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** When the holder last gave tokens, in milliseconds, by organisation. */
    private final Map<String, Long> givenMs = new HashMap<>();

    private long nextSendMs = NEVER_SENT;
    private long silentUntilMs = Long.MIN_VALUE;
    private boolean inFlight;
    private boolean scheduled;
    private long requests;

    private Peer(String vm) {
      this.vm = vm;
    }

    private boolean canAsk(String organisation, long nowMs) {
      Backoff backoff = backoffs.get(organisation);
      return nowMs >= silentUntilMs
          && (backoff == null || nowMs >= backoff.untilMs())
          && !pending.containsKey(organisation)
          && !requested.contains(organisation)
          && pending.size() < MAX_ORGANISATIONS;
    }

    /** One that has given tokens may have more, once its limit on gifts allows it again. */
    private boolean hasGivenRecently(String organisation, long nowMs) {
      Long lastMs = givenMs.get(organisation);
      return lastMs != null && nowMs - lastMs <= TokenLender.PERIOD_MS;
    }

    private boolean canSend(long nowMs) {
      return !inFlight && nowMs >= nextSendMs;
    }
  }

  private final Scheduler scheduler;
  private final QuotaClient client;
  private final Supplier<? extends Collection<String>> otherHolders;
  private final QuotaCounts counts;
  private final Consumer<Received> onAnswer;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, OrganisationQuota> askedFor = new HashMap<>();
  private int rotation;
  private long generation;

  /** Tokens that have arrived for an organisation, which may be none. */
  record Received(OrganisationQuota organisation, double tokens, long sentMs) {}

  QuotaRefill(
      Scheduler scheduler,
      QuotaClient client,
      Supplier<? extends Collection<String>> otherHolders,
      QuotaCounts counts,
      Consumer<Received> onAnswer) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.client = Objects.requireNonNull(client, "client is null");
    this.otherHolders = Objects.requireNonNull(otherHolders, "otherHolders is null");
    this.counts = Objects.requireNonNull(counts, "counts is null");
    this.onAnswer = Objects.requireNonNull(onAnswer, "onAnswer is null");
  }

  /**
   * Asks other holders for tokens.
   *
   * @param again true if operations still wait after an answer, so that more holders are asked than
   *     if each of them had as much as it may give
   * @return true if tokens may still arrive
   */
  boolean request(OrganisationQuota organisation, double tokens, boolean again, long nowMs) {
    double missing = tokens;
    if (missing >= MIN_TOKENS) {
      for (Peer peer : candidates(organisation.name(), nowMs)) {
        if (missing < MIN_TOKENS) {
          break;
        }
        double part = Math.max(MIN_TOKENS, Math.min(missing, organisation.giftLimit()));
        missing -= again ? part * PART_EXPECTED_AGAIN : part;
        peer.pending.put(organisation.name(), part);
        askedFor.put(organisation.name(), organisation);
        organisation.addAsked(part);
        schedule(peer, nowMs);
      }
    }
    return organisation.asked() > OrganisationQuota.EPSILON;
  }

  /** Ignores answers to all requests that were sent so far. */
  void discardAnswers() {
    generation++;
  }

  /** Returns the holders to ask: first those that can be sent a request now, in rotation. */
  private List<Peer> candidates(String organisation, long nowMs) {
    List<String> vms = new ArrayList<>(otherHolders.get());
    vms.sort(null);
    peers.keySet().removeIf(vm -> !vms.contains(vm) && !peers.get(vm).inFlight && idle(vm));
    rotation++;
    List<Peer> now = new ArrayList<>();
    List<Peer> later = new ArrayList<>();
    for (int i = 0; i < vms.size(); i++) {
      Peer peer = peers.computeIfAbsent(vms.get((i + rotation) % vms.size()), Peer::new);
      if (peer.canAsk(organisation, nowMs)) {
        (peer.canSend(nowMs) ? now : later).add(peer);
      }
    }
    now.addAll(later);
    return now;
  }

  private boolean idle(String vm) {
    return peers.get(vm).pending.isEmpty() && !peers.get(vm).scheduled;
  }

  private void schedule(Peer peer, long nowMs) {
    if (!peer.scheduled && !peer.inFlight) {
      peer.scheduled = true;
      scheduler.schedule(Math.max(0, peer.nextSendMs - nowMs), () -> send(peer));
    }
  }

  private void send(Peer peer) {
    peer.scheduled = false;
    if (peer.pending.isEmpty() || peer.inFlight) {
      return;
    }
    final long sentMs = scheduler.nowMs();
    final long sentIn = generation;
    Map<String, Double> want = Map.copyOf(peer.pending);
    peer.pending.clear();
    peer.requested.addAll(want.keySet());
    peer.inFlight = true;
    peer.nextSendMs = sentMs + INTERVAL_MS;
    counts.requests++;
    long request = ++peer.requests;
    client.request(
        peer.vm,
        want,
        answer -> {
          if (peer.inFlight && request == peer.requests) {
            onAnswer(peer, want, sentMs, sentIn == generation, answer);
          }
        });
  }

  private void onAnswer(
      Peer peer,
      Map<String, Double> want,
      long sentMs,
      boolean current,
      Optional<Map<String, Double>> answer) {
    long nowMs = scheduler.nowMs();
    peer.inFlight = false;
    peer.requested.removeAll(want.keySet());
    if (answer.isEmpty()) {
      peer.silentUntilMs = nowMs + SILENT_MS;
    }
    boolean valid = current && nowMs - sentMs < ReceivedTokens.VALID_MS;
    List<Received> arrived = new ArrayList<>();
    for (Map.Entry<String, Double> entry : want.entrySet()) {
      OrganisationQuota organisation = askedFor.get(entry.getKey());
      organisation.addAsked(-entry.getValue());
      double given = answer.map(tokens -> tokens.get(entry.getKey())).orElse(0.0);
      double tokens = given > 0 ? Math.min(given, entry.getValue()) : 0;
      if (answer.isPresent()) {
        recordAnswer(peer, organisation, entry.getValue(), tokens, nowMs);
      }
      counts.tokensReceived += valid ? tokens : 0;
      counts.tokensExpired += valid ? 0 : tokens;
      arrived.add(new Received(organisation, valid ? tokens : 0, sentMs));
    }
    arrived.forEach(onAnswer);
    if (!peer.pending.isEmpty()) {
      schedule(peer, nowMs);
    }
  }

  private static void recordAnswer(
      Peer peer, OrganisationQuota organisation, double want, double tokens, long nowMs) {
    if (tokens > 0) {
      peer.givenMs.put(organisation.name(), nowMs);
    }
    if (tokens >= want - OrganisationQuota.EPSILON) {
      peer.backoffs.remove(organisation.name());
      return;
    }
    long delayMs = Math.clamp(organisation.halfTokenMs(), MIN_BACKOFF_MS, MAX_BACKOFF_MS);
    Backoff last = peer.backoffs.get(organisation.name());
    if (last != null && !peer.hasGivenRecently(organisation.name(), nowMs)) {
      delayMs = Math.min(2 * last.delayMs(), MAX_BACKOFF_MS);
    }
    peer.backoffs.put(organisation.name(), new Backoff(nowMs + delayMs, delayMs));
  }
}
