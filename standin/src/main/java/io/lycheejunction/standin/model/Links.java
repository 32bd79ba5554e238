package io.lycheejunction.standin.model;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** The links between failure domains and to the platform, which can be cut. Thread-safe. */
public final class Links {
  /** The source outside all failure domains. Never cut off, except from the platform. */
  public static final String CLIENT = "client";

  private static final String PLATFORM = "platform";

  private record Pair(String lower, String higher) {
    static Pair of(String domainA, String domainB) {
      return domainA.compareTo(domainB) <= 0
          ? new Pair(domainA, domainB)
          : new Pair(domainB, domainA);
    }
  }

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final long delayMs;
  private volatile Set<Pair> cut = Set.of();

  /**
   * Creates links of which none is cut.
   *
   * @param delayMs the one-way delay between different failure domains, in milliseconds
   */
  public Links(long delayMs) {
    this.delayMs = delayMs;
  }

  /**
   * Cuts the link between two failure domains.
   *
   * @param domainA one failure domain
   * @param domainB the other failure domain
   */
  public void cut(String domainA, String domainB) {
    setCut(domainA, domainB, true);
  }

  /**
   * Restores the link between two failure domains.
   *
   * @param domainA one failure domain
   * @param domainB the other failure domain
   */
  public void heal(String domainA, String domainB) {
    setCut(domainA, domainB, false);
  }

  /**
   * Cuts the links between a failure domain and each of the others.
   *
   * @param domain the failure domain
   * @param others the other failure domains
   */
  public void isolate(String domain, List<String> others) {
    others.stream().filter(other -> !other.equals(domain)).forEach(other -> cut(domain, other));
  }

  /**
   * Cuts the link between a failure domain and the platform.
   *
   * @param domain the failure domain
   */
  public void cutPlatform(String domain) {
    setCut(domain, PLATFORM, true);
  }

  /**
   * Restores the link between a failure domain and the platform.
   *
   * @param domain the failure domain
   */
  public void healPlatform(String domain) {
    setCut(domain, PLATFORM, false);
  }

  /** Restores all links. */
  public synchronized void healAll() {
    cut = Set.of();
    listeners.forEach(Runnable::run);
  }

  private synchronized void setCut(String domainA, String domainB, boolean isCut) {
    Objects.requireNonNull(domainA, "domainA is null");
    Objects.requireNonNull(domainB, "domainB is null");
    Set<Pair> next = new HashSet<>(cut);
    if (isCut) {
      next.add(Pair.of(domainA, domainB));
    } else {
      next.remove(Pair.of(domainA, domainB));
    }
    cut = Set.copyOf(next);
    listeners.forEach(Runnable::run);
  }

  /**
   * Returns whether the link between two failure domains is cut.
   *
   * @param domainA one failure domain
   * @param domainB the other failure domain
   * @return true if it is cut
   */
  public boolean isCut(String domainA, String domainB) {
    return !domainA.equals(domainB) && cut.contains(Pair.of(domainA, domainB));
  }

  /**
   * Returns whether the link between a failure domain and the platform is cut.
   *
   * @param domain the failure domain
   * @return true if it is cut
   */
  public boolean isPlatformCut(String domain) {
    return isCut(domain, PLATFORM);
  }

  /**
   * Returns the one-way delay of a link.
   *
   * @param domainA a failure domain or {@link #CLIENT}
   * @param domainB a failure domain or {@link #CLIENT}
   * @return the delay, in milliseconds; 0 within a failure domain and for {@link #CLIENT}
   */
  public long delayMs(String domainA, String domainB) {
    return domainA.equals(domainB) || domainA.equals(CLIENT) || domainB.equals(CLIENT)
        ? 0
        : delayMs;
  }

  /** Registers a listener that runs after each cut or restored link. */
  void onChange(Runnable listener) {
    listeners.add(listener);
  }
}
