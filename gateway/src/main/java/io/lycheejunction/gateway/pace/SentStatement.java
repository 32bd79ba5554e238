package io.lycheejunction.gateway.pace;

/**
 * A statement in progress at a target, or a connection that is being opened.
 *
 * @param kind the kind of work
 * @param sentMs the time at which it was sent, in milliseconds
 * @param reductions the number of reductions of the limit before it was sent
 * @param inProgress the number of statements in progress with it
 */
public record SentStatement(StatementKind kind, long sentMs, int reductions, int inProgress) {}
