package io.lycheejunction.bench.slopes;

import java.util.concurrent.atomic.LongAdder;

/** Counts messages and their bytes as HTTP over an open connection carries them. */
final class Wire {
  /** The request line and the headers of a request with JSON. */
  private static final int REQUEST_HEADER_BYTES = 150;

  /** The status line and the headers of an answer with JSON. */
  private static final int ANSWER_HEADER_BYTES = 120;

  private final LongAdder messages = new LongAdder();
  private final LongAdder bytes = new LongAdder();

  /** Counts a request and its answer. */
  void exchanged(String request, String answer) {
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
