package io.lycheejunction.proxy.caller;

import java.util.Optional;

/**
 * The body of the begin of a transaction.
 *
 * @param newSession true if the session has written nothing yet
 * @param idleLimitMs the time without a request after which the transaction is rolled back, in
 *     milliseconds
 * @param timeoutMs the time to the deadline of the begin, in milliseconds
 */
record BeginBody(
    Optional<Boolean> newSession, Optional<Long> idleLimitMs, Optional<Long> timeoutMs) {}
