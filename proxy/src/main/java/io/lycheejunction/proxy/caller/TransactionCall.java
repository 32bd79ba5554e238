package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.session.SessionToken;
import java.util.Objects;

/**
 * The common part of all requests in an open transaction.
 *
 * @param service the name of the service
 * @param transaction the identifier of the transaction
 * @param session the log positions that the session must see
 * @param timeoutMs the time to the deadline of the request, in milliseconds
 */
public record TransactionCall(
    String service, String transaction, SessionToken session, long timeoutMs) {
  /** Rejects null components. */
  public TransactionCall {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(transaction, "transaction is null");
    Objects.requireNonNull(session, "session is null");
  }
}
