package io.lycheejunction.bench.config;

import java.util.concurrent.atomic.LongAdder;

/** Counts the traffic of all proxies of a fleet; bytes are those of HTTP bodies and headers. */
final class Traffic {
  /** The bytes of the request line and headers that the HTTP client sends to the platform. */
  static final int REQUEST_HEADER_BYTES = 141;

  /** The bytes of the status line and headers of a reply. */
  static final int REPLY_HEADER_BYTES = 108;

  final LongAdder tableReads = new LongAdder();
  final LongAdder tableWrites = new LongAdder();
  final LongAdder tableBytes = new LongAdder();
  final LongAdder listBytes = new LongAdder();
  final LongAdder peerBytes = new LongAdder();

  /**
   * The counters at one time, or their growth over a period.
   *
   * @param atNs the time of the reading or the length of the period, in nanoseconds of the
   *     monotonic clock
   * @param tableReads the number of table reads
   * @param tableWrites the number of conditional table writes
   * @param tableBytes the bytes between proxies and the table
   * @param listBytes the bytes of reads of the VM list
   * @param peerBytes the bytes between proxies, counted at the receiver only
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
