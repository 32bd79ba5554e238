package io.lycheejunction.bench.load;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The target that last acknowledged a write of each service, as seen by callers; thread-safe. */
public final class ObservedPrimaries {
  private final Map<String, String> targetByService = new ConcurrentHashMap<>();

  /**
   * Records that a target acknowledged a write of a service.
   *
   * @param service the name of the service
   * @param target the name of the target
   */
  void recordWrite(String service, String target) {
    targetByService.put(service, target);
  }

  /**
   * Returns the target that last acknowledged a write of a service.
   *
   * @param service the name of the service
   * @return the name of the target, or empty if no write was acknowledged yet
   */
  public Optional<String> of(String service) {
    return Optional.ofNullable(targetByService.get(service));
  }

  /**
   * Returns whether a target is the one that last acknowledged a write of a service.
   *
   * @param service the name of the service
   * @param target the name of the target
   * @return true if it is the primary as far as callers know
   */
  public boolean isPrimary(String service, String target) {
    return target.equals(targetByService.get(service));
  }
}
