package io.lycheejunction.core.admission;

import io.lycheejunction.core.result.Fault;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/** The place of one request in the admission of a target. */
final class Ticket {
  private final Ask ask;
  private final long arrivedMs;
  private final CountDownLatch decided = new CountDownLatch(1);
  private long grantedMs;
  private Fault fault;

  Ticket(Ask ask, long arrivedMs) {
    this.ask = ask;
    this.arrivedMs = arrivedMs;
  }

  Ask ask() {
    return ask;
  }

  CountDownLatch decided() {
    return decided;
  }

  long deadlineMs() {
    return arrivedMs + ask.remainingMs();
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
