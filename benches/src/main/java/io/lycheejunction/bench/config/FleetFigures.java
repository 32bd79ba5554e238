package io.lycheejunction.bench.config;

/**
 * What was measured on one fleet.
 *
 * @param proxies the number of proxies
 * @param plainMs the longest time from accepted to in force everywhere, in milliseconds
 * @param relayMs the longest such time with the table down, in milliseconds
 * @param idle the traffic of the whole fleet in a time without changes
 */
record FleetFigures(int proxies, long plainMs, long relayMs, Traffic.Totals idle) {
  private static final double NS_PER_SECOND = 1e9;

  private double perSecond(long count) {
    return count * NS_PER_SECOND / idle.atNs();
  }

  /** Returns the reads of the table a second by all proxies. */
  double tableReadsPerSecond() {
    return perSecond(idle.tableReads());
  }

  /** Returns the writes to the table a second by all proxies. */
  double tableWritesPerSecond() {
    return perSecond(idle.tableWrites());
  }

  /** Returns the bytes a second between one proxy and the table. */
  double tableBytesPerNode() {
    return perSecond(idle.tableBytes()) / proxies;
  }

  /** Returns the bytes a second between one proxy and the list of VMs. */
  double listBytesPerNode() {
    return perSecond(idle.listBytes()) / proxies;
  }

  /** Returns the bytes a second that one proxy exchanges with others, sent and received. */
  double peerBytesPerNode() {
    return 2 * perSecond(idle.peerBytes()) / proxies;
  }
}
