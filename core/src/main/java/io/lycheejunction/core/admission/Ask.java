package io.lycheejunction.core.admission;

import java.util.Objects;

/**
 * A request for a permit to use a target.
 *
 * @param service the name of the service whose share the request counts against
 * @param weight the service's share relative to other services; less than 1 counts as 1
 * @param entryVm the name of the proxy that received the request
 * @param lane the priority class of the request
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record Ask(String service, int weight, String entryVm, Lane lane, long remainingMs) {
  /** Rejects null components and raises the weight to at least 1. */
  public Ask {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(entryVm, "entryVm is null");
    Objects.requireNonNull(lane, "lane is null");
    weight = Math.max(1, weight);
  }
}
