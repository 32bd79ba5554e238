package io.lycheejunction.standin.model;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** The links between failure domains, which can be cut. Safe for use by several threads. */
public final class Links {
  /** The source that is in no failure domain and is never cut off, except from the platform. */
  public static final String CLIENT = "client";

  private static final String PLATFORM = "platform";

  private record Pair(String low, String high) {
    static Pair of(String a, String b) {
      return a.compareTo(b) <= 0 ? new Pair(a, b) : new Pair(b, a);
    }
  }

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final long delayMs;
  private volatile Set<Pair> cut = Set.of();

  /**
   * Creates links that are all whole.
   *
   * @param delayMs the one-way delay between different failure domains, in milliseconds
   */
  public Links(long delayMs) {
    this.delayMs = delayMs;
  }

  /**
   * Cuts the link between two failure domains.
   *
   * @param a one failure domain
   * @param b the other
   */
  public void cut(String a, String b) {
    change(a, b, true);
  }

  /**
   * Heals the link between two failure domains.
   *
   * @param a one failure domain
   * @param b the other
   */
  public void heal(String a, String b) {
    change(a, b, false);
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
   * Cuts a failure domain from the platform.
   *
   * @param domain the failure domain
   */
  public void cutPlatform(String domain) {
    change(domain, PLATFORM, true);
  }

  /**
   * Heals the link between a failure domain and the platform.
   *
   * @param domain the failure domain
   */
  public void healPlatform(String domain) {
    change(domain, PLATFORM, false);
  }

  /** Heals every link. */
  public synchronized void healAll() {
    cut = Set.of();
    listeners.forEach(Runnable::run);
  }

  private synchronized void change(String a, String b, boolean nowCut) {
    Objects.requireNonNull(a, "a is null");
    Objects.requireNonNull(b, "b is null");
    Set<Pair> next = new HashSet<>(cut);
    if (nowCut) {
      next.add(Pair.of(a, b));
    } else {
      next.remove(Pair.of(a, b));
    }
    cut = Set.copyOf(next);
    listeners.forEach(Runnable::run);
  }

  /**
   * Returns whether the link between two failure domains is cut.
   *
   * @param a one failure domain
   * @param b the other
   * @return true if it is cut
   */
  public boolean isCut(String a, String b) {
    return !a.equals(b) && cut.contains(Pair.of(a, b));
  }

  /**
   * Returns whether a failure domain is cut from the platform.
   *
   * @param domain the failure domain
   * @return true if it is cut
   */
  public boolean isPlatformCut(String domain) {
    return isCut(domain, PLATFORM);
  }

  /**
   * Returns the one-way delay between two places.
   *
   * @param a a failure domain or {@link #CLIENT}
   * @param b a failure domain or {@link #CLIENT}
   * @return the delay, in milliseconds
   */
  public long delayMs(String a, String b) {
    return a.equals(b) || a.equals(CLIENT) || b.equals(CLIENT) ? 0 : delayMs;
  }

  /** Registers an action that runs after each change. */
  void onChange(Runnable listener) {
    listeners.add(listener);
  }
}
