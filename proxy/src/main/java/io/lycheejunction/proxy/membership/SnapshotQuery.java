package io.lycheejunction.proxy.membership;

/**
 * Requests a snapshot of a proxy's configuration.
 *
 * @param version the configuration version in force on the requesting proxy
 */
record SnapshotQuery(long version) {}
