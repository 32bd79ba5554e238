package io.lycheejunction.gateway.failover;

import java.util.HashMap;
import java.util.Map;

/** Watches the primaries of all services. */
public final class PrimaryWatch {
  private static final long CALM_MS = 200;
  private static final long SOON_MS = 40;

  private final Failover failover;
  private final Map<String, ServiceWatch> watches = new HashMap<>();
  private boolean lookSoon;

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
    for (String service : failover.targets().services()) {
      ServiceWatch watch =
          watches.computeIfAbsent(service, name -> new ServiceWatch(failover, name));
      lookSoon |= watch.look();
    }
    watches.keySet().retainAll(failover.targets().services());
  }

  private void lookAndRepeat() {
    look();
    failover.scheduler().schedule(lookSoon ? SOON_MS : CALM_MS, this::lookAndRepeat);
  }
}
