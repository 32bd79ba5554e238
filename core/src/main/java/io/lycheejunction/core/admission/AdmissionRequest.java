package io.lycheejunction.core.admission;

import java.util.Objects;

/**
 * A request for a permit to use a target.
 *
 * @param service the name of the service whose share the request counts against
 * @param weight the service's share relative to other services; less than 1 counts as 1
 * @param entryVm the name of the proxy that received the request
 * @param priorityClass the priority class of the request
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record AdmissionRequest(
    String service, int weight, String entryVm, PriorityClass priorityClass, long remainingMs) {
  /** Rejects null components and raises the weight to at least 1. */
  public AdmissionRequest {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(entryVm, "entryVm is null");
    Objects.requireNonNull(priorityClass, "priorityClass is null");
    weight = Math.max(1, weight);
  }
}
