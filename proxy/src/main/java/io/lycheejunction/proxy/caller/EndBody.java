package io.lycheejunction.proxy.caller;

import java.util.Optional;

/**
 * The body of a commit or a rollback.
 *
 * @param timeoutMs the time to the deadline, in milliseconds
 */
record EndBody(Optional<Long> timeoutMs) {}
