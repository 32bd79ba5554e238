package io.lycheejunction.gateway.quota;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tokens from other VMs above the capacity of the bucket, which are valid for a short time. */
final class ReceivedTokens {
  /** How long tokens are valid after their request was sent, in milliseconds. */
  static final long VALID_MS = 400;

  private record Batch(double tokens, long validUntilMs) {}

  private final PriorityQueue<Batch> batches =
      new PriorityQueue<>(Comparator.comparingLong(Batch::validUntilMs));
  private double total;

  double total() {
    return total;
  }

  /** Removes batches that are no longer valid and returns their tokens. */
  double removeExpired(long nowMs) {
    double expired = 0;
    while (!batches.isEmpty() && nowMs >= batches.peek().validUntilMs()) {
      expired += batches.poll().tokens();
    }
    subtract(expired);
    return expired;
  }

  void add(double tokens, long validUntilMs) {
    if (tokens > 0) {
      batches.add(new Batch(tokens, validUntilMs));
      total += tokens;
    }
  }

  /** Removes up to {@code tokens}, those that expire first, and returns how many were removed. */
  double take(double tokens) {
    double missing = tokens;
    while (missing > 0 && !batches.isEmpty()) {
      Batch first = batches.poll();
      double used = Math.min(missing, first.tokens());
      missing -= used;
      if (used < first.tokens()) {
        batches.add(new Batch(first.tokens() - used, first.validUntilMs()));
      }
    }
    subtract(tokens - missing);
    return tokens - missing;
  }

  void clear() {
    batches.clear();
    total = 0;
  }

  private void subtract(double tokens) {
    total = batches.isEmpty() ? 0 : Math.max(0, total - tokens);
  }
}
