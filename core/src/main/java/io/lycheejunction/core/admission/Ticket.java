package io.lycheejunction.core.admission;

import io.lycheejunction.core.result.Fault;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/** A request for admission to a target, and its outcome: granted, or refused with a fault. */
final class Ticket {
  private final AdmissionRequest request;
  private final long arrivedMs;
  private final CountDownLatch decided = new CountDownLatch(1);
  private long grantedMs;
  private Fault fault;

  Ticket(AdmissionRequest request, long arrivedMs) {
    this.request = request;
    this.arrivedMs = arrivedMs;
  }

  AdmissionRequest request() {
    return request;
  }

  CountDownLatch decided() {
    return decided;
  }

  long deadlineMs() {
    return arrivedMs + request.remainingMs();
  }

  void grant(long nowMs) {
    grantedMs = nowMs;
    decided.countDown();
  }

  void refuse(Fault reason) {
    fault = reason;
    decided.countDown();
  }

  Optional<Fault> fault() {
    return Optional.ofNullable(fault);
  }

  long grantedMs() {
    return grantedMs;
  }

  long waitedMs() {
    return grantedMs - arrivedMs;
  }
}
