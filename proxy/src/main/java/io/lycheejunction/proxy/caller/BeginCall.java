package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.SessionToken;
import java.util.Objects;

/**
 * A caller's begin of a transaction.
 *
 * @param service the name of the service
 * @param session what the session must see
 * @param idleLimitMs the time without a request after which the transaction is rolled back, in
 *     milliseconds
 * @param timeoutMs the time to the deadline of the begin, in milliseconds
 */
public record BeginCall(String service, SessionToken session, long idleLimitMs, long timeoutMs) {
  /** Rejects null components. */
  public BeginCall {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(session, "session is null");
  }
}
