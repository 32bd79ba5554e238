package io.lycheejunction.bench.load;

/**
 * The statements that a simulated caller sends.
 *
 * @param writePct the share of writes among all statements, in percent
 * @param anyCallerReadPct the share of reads of any caller's orders among all reads, in percent;
 *     the others read the caller's own orders
 * @param maxAgeMs the maximum accepted age of the data of all reads of any caller's orders and of
 *     half of the other reads, in milliseconds
 * @param thinkMs the longest random pause before a statement, in milliseconds
 * @param timeoutMs the timeout of a statement, in milliseconds
 */
public record StatementMix(
    int writePct, int anyCallerReadPct, long maxAgeMs, long thinkMs, long timeoutMs) {}
