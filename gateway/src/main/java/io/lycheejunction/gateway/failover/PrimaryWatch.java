package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Watches the primaries of all services. */
public final class PrimaryWatch {
  private static final long CALM_MS = 200;
  private static final long SOON_MS = 40;
  private static final long ISOLATED_MS = 400;
  private static final long NOT_ISOLATED = Long.MAX_VALUE;
  private static final EventLog LOG = EventLog.of(PrimaryWatch.class);

  private final Failover failover;
  private final Map<String, ServiceWatch> watches = new HashMap<>();
  private boolean lookSoon;
  private long isolatedSinceMs = NOT_ISOLATED;

  /**
   * Creates a watch that does not run yet.
   *
   * @param failover what watching shares
   */
  public PrimaryWatch(Failover failover) {
    this.failover = failover;
  }

  /** Starts to watch. */
  public void start() {
    lookAndRepeat();
  }

  /** Looks at all primaries now, since something has changed. */
  public void look() {
    lookSoon = false;
    if (failover.role().isForwarding()) {
      watches.clear();
      noteIsolation();
      return;
    }
    for (String service : failover.targets().services()) {
      ServiceWatch watch =
          watches.computeIfAbsent(service, name -> new ServiceWatch(failover, name));
      lookSoon |= watch.look();
    }
    watches.keySet().retainAll(failover.targets().services());
    noteIsolation();
  }

  /**
   * Returns whether this VM reaches neither the store nor most primaries, while others may.
   *
   * @return true if callers are served better elsewhere
   */
  public boolean isIsolated() {
    return isolatedSinceMs != NOT_ISOLATED
        && failover.scheduler().nowMs() - isolatedSinceMs >= ISOLATED_MS;
  }

  /**
   * Returns what this VM sees of a primary, for another VM that asks.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @return the vote, or empty if it can't tell yet
   */
  public Optional<Vote> answerAbout(String service, String primary) {
    return Optional.ofNullable(watches.get(service)).flatMap(watch -> watch.answerAbout(primary));
  }

  private long missedPrimaries() {
    return watches.values().stream().filter(watch -> !watch.reachesPrimary()).count();
  }

  private void noteIsolation() {
    boolean isolated =
        !watches.isEmpty()
            && !failover.board().isReachable()
            && missedPrimaries() * 2 >= watches.size();
    if (isolated == (isolatedSinceMs != NOT_ISOLATED)) {
      return;
    }
    isolatedSinceMs = isolated ? failover.scheduler().nowMs() : NOT_ISOLATED;
    LOG.info("isolation", "isolated", isolated);
  }

  private void lookAndRepeat() {
    look();
    failover.scheduler().schedule(lookSoon ? SOON_MS : CALM_MS, this::lookAndRepeat);
  }
}
