package io.lycheejunction.proxy.membership;

/**
 * Asks a proxy for its configuration.
 *
 * @param version the version in force on the proxy that asks
 */
record SnapshotQuery(long version) {}
