package io.lycheejunction.bench.load;

/**
 * What a clerk does how often.
 *
 * @param writePct the share of orders among all statements, in percent
 * @param agedReadPct the share of reads that accept an age among all reads, in percent
 * @param maxAgeMs the age that those reads accept, in milliseconds
 * @param thinkMs the longest pause between two statements, in milliseconds
 * @param timeoutMs the time that a clerk waits for an answer, in milliseconds
 */
public record Mix(int writePct, int agedReadPct, long maxAgeMs, long thinkMs, long timeoutMs) {}
