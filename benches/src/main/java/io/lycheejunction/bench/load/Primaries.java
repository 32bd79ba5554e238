package io.lycheejunction.bench.load;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The target that last acknowledged a write of each service, as callers were told. */
public final class Primaries {
  private final Map<String, String> byService = new ConcurrentHashMap<>();

  /**
   * Records that a target has acknowledged a write.
   *
   * @param service the name of the service
   * @param target the target
   */
  void acknowledged(String service, String target) {
    byService.put(service, target);
  }

  /**
   * Returns the target that last acknowledged a write of a service.
   *
   * @param service the name of the service
   * @return the target, or empty if there was no write yet
   */
  public Optional<String> of(String service) {
    return Optional.ofNullable(byService.get(service));
  }

  /**
   * Returns whether a target last acknowledged a write of a service.
   *
   * @param service the name of the service
   * @param target the target
   * @return true if it is the primary as far as callers know
   */
  public boolean isPrimary(String service, String target) {
    return target.equals(byService.get(service));
  }
}
