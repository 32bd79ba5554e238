package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** Forwards requests to the proxies that hold their targets, with a concurrency limit per proxy. */
final class Forwarder {
  /** The path of single statements. */
  static final String EXECUTE = "/peer/execute";

  /** The path of transaction starts. */
  static final String BEGIN = "/peer/begin";

  /** The path of transaction steps. */
  static final String STEP = "/peer/step";

  /** The path of look-ups by idempotency key. */
  static final String OUTCOME = "/peer/outcome";

  /** The path of floor queries. */
  static final String FLOOR = "/peer/floor";

  private final PeerTransport transport;
  private final int concurrency;
  private final Map<String, Semaphore> permits = new ConcurrentHashMap<>();

  Forwarder(PeerTransport transport, int concurrency) {
    this.transport = transport;
    this.concurrency = concurrency;
  }

  /**
   * Returns the peer's reply.
   *
   * <p>A request that is not sent fails with {@code DEADLINE_EXCEEDED} or {@code QUEUE_FULL}, which
   * prove that it has not run.
   */
  <T> Result<T> send(Vm peer, String path, Object message, Class<T> replyType, Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    Semaphore permit = permits.computeIfAbsent(peer.name(), name -> new Semaphore(concurrency));
    if (!permit.tryAcquire()) {
      return Result.failure(
          ResultCode.QUEUE_FULL, "too many concurrent requests to " + peer.name());
    }
    try {
      return transport.call(peer, path, message, replyType, deadline.remainingMs());
    } finally {
      permit.release();
    }
  }

  /** Removes the permits of all other peers. */
  void retainPeers(Set<String> names) {
    permits.keySet().retainAll(names);
  }
}
