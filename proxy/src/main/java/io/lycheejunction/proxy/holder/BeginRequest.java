package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionRequest;
import io.lycheejunction.core.admission.PriorityClass;
import io.lycheejunction.core.configuration.Durability;
import java.util.Objects;

/**
 * A request to start a transaction on the primary.
 *
 * @param service the name of the caller's service
 * @param group the name of the service's group
 * @param target the name of the primary
 * @param term the term in which the transaction must run
 * @param durability which instances must have received the commit before it is acknowledged
 * @param weight the service's weight in the fair queue of the target
 * @param entryVm the name of the proxy that received the request
 * @param idleLimitMs the time without a step after which the transaction is rolled back, in
 *     milliseconds
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record BeginRequest(
    String service,
    String group,
    String target,
    long term,
    Durability durability,
    int weight,
    String entryVm,
    long idleLimitMs,
    long remainingMs) {
  /** Rejects null components. */
  public BeginRequest {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(durability, "durability is null");
    Objects.requireNonNull(entryVm, "entryVm is null");
  }

  /**
   * Returns the request for admission to the target.
   *
   * @param deadline the deadline of the step that is to be admitted
   * @return the request, urgent, since the transaction occupies a connection
   */
  AdmissionRequest admissionRequest(Deadline deadline) {
    return new AdmissionRequest(
        service, weight, entryVm, PriorityClass.URGENT, deadline.remainingMs());
  }
}
