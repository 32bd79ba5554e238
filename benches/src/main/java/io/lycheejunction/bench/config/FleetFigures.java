package io.lycheejunction.bench.config;

/**
 * The measurements of one fleet.
 *
 * @param proxies the number of proxies
 * @param inForceMs the longest time from the acceptance of a change until it is in force on all
 *     proxies, in milliseconds
 * @param relayOnlyMs the longest such time while the table is down, so that only peers pass the
 *     change on, in milliseconds
 * @param idleTraffic the traffic of the whole fleet in a period without changes
 */
record FleetFigures(int proxies, long inForceMs, long relayOnlyMs, Traffic.Totals idleTraffic) {
  private static final double NS_PER_SECOND = 1e9;

  private double perSecond(long count) {
    return count * NS_PER_SECOND / idleTraffic.atNs();
  }

  /** Returns the table reads per second of all proxies together. */
  double tableReadsPerSecond() {
    return perSecond(idleTraffic.tableReads());
  }

  /** Returns the table writes per second of all proxies together. */
  double tableWritesPerSecond() {
    return perSecond(idleTraffic.tableWrites());
  }

  /** Returns the bytes per second between one proxy and the table, averaged over the proxies. */
  double tableBytesPerSecondPerNode() {
    return perSecond(idleTraffic.tableBytes()) / proxies;
  }

  /** Returns the bytes per second that the VM list costs one proxy, averaged over the proxies. */
  double listBytesPerSecondPerNode() {
    return perSecond(idleTraffic.listBytes()) / proxies;
  }

  /**
   * Returns the bytes per second that one proxy sends to and receives from other proxies, averaged
   * over the proxies.
   */
  double peerBytesPerSecondPerNode() {
    return 2 * perSecond(idleTraffic.peerBytes()) / proxies;
  }
}
