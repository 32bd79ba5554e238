package io.lycheejunction.bench.slopes;

import java.util.concurrent.atomic.LongAdder;

/** Counts messages and the bytes that they take as HTTP/1.1 over a connection that is kept open. */
final class MessageCounter {
  /** The size of the request line and the headers of a JSON request. */
  private static final int REQUEST_HEADER_BYTES = 150;

  /** The size of the status line and the headers of a JSON answer. */
  private static final int ANSWER_HEADER_BYTES = 120;

  private final LongAdder messages = new LongAdder();
  private final LongAdder bytes = new LongAdder();

  /** Counts a request and its answer as two messages; the texts must be ASCII. */
  void countExchange(String request, String answer) {
    messages.add(2);
    bytes.add(
        REQUEST_HEADER_BYTES + request.length() + (long) ANSWER_HEADER_BYTES + answer.length());
  }

  long messages() {
    return messages.sum();
  }

  long bytes() {
    return bytes.sum();
  }
}
