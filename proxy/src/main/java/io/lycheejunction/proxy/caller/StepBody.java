package io.lycheejunction.proxy.caller;

import java.util.Optional;

/**
 * The body of a request with a statement in a transaction.
 *
 * @param statement the text of the statement; required
 * @param access {@code read} or {@code write}; required
 * @param timeoutMs the time to the deadline, in milliseconds
 */
record StepBody(Optional<String> statement, Optional<String> access, Optional<Long> timeoutMs) {}
