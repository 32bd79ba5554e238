package io.lycheejunction.bench.config;

import java.util.concurrent.atomic.LongAdder;

/** What the proxies of a fleet have sent and received, in bodies and headers of HTTP messages. */
final class Traffic {
  /** The bytes of the request line and headers that the HTTP client sends to the platform. */
  static final int REQUEST_HEADER_BYTES = 141;

  /** The bytes of the status line and headers of an answer. */
  static final int REPLY_HEADER_BYTES = 108;

  final LongAdder tableReads = new LongAdder();
  final LongAdder tableWrites = new LongAdder();
  final LongAdder tableBytes = new LongAdder();
  final LongAdder listBytes = new LongAdder();
  final LongAdder peerBytes = new LongAdder();

  /**
   * The totals at one moment.
   *
   * @param atNs the moment, in nanoseconds of the monotonic clock
   * @param tableReads the reads of the table
   * @param tableWrites the conditional writes to the table
   * @param tableBytes the bytes between proxies and the table
   * @param listBytes the bytes between proxies and the list of VMs
   * @param peerBytes the bytes between proxies, each counted once
   */
  record Totals(
      long atNs,
      long tableReads,
      long tableWrites,
      long tableBytes,
      long listBytes,
      long peerBytes) {

    /** Returns the growth since earlier totals. */
    Totals since(Totals earlier) {
      return new Totals(
          atNs - earlier.atNs,
          tableReads - earlier.tableReads,
          tableWrites - earlier.tableWrites,
          tableBytes - earlier.tableBytes,
          listBytes - earlier.listBytes,
          peerBytes - earlier.peerBytes);
    }
  }

  /** Returns the totals so far. */
  Totals totals() {
    return new Totals(
        System.nanoTime(),
        tableReads.sum(),
        tableWrites.sum(),
        tableBytes.sum(),
        listBytes.sum(),
        peerBytes.sum());
  }
}
