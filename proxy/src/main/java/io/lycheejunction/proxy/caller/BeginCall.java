package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.SessionToken;
import java.util.Objects;

/**
 * A caller's request to begin a transaction.
 *
 * @param service the name of the service
 * @param session the log positions that the session must see
 * @param idleLimitMs the idle time after which the transaction is rolled back, in milliseconds
 * @param timeoutMs the time to the deadline of the begin, in milliseconds
 */
public record BeginCall(String service, SessionToken session, long idleLimitMs, long timeoutMs) {
  /** Rejects null components. */
  public BeginCall {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(session, "session is null");
  }
}
