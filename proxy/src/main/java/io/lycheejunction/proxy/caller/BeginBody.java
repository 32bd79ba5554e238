package io.lycheejunction.proxy.caller;

import java.util.Optional;

/**
 * The body of a request that begins a transaction.
 *
 * @param newSession true if the session has written nothing yet
 * @param idleLimitMs the idle time after which the transaction is rolled back, in milliseconds
 * @param timeoutMs the time to the deadline of the begin, in milliseconds
 */
record BeginBody(
    Optional<Boolean> newSession, Optional<Long> idleLimitMs, Optional<Long> timeoutMs) {}
