package io.lycheejunction.gateway.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the tokens of an organisation that this VM gives to others in any 500 ms. */
final class TokenLender {
  /**
   * How long gifts count, in milliseconds. It is longer than tokens are valid after their request,
   * so that clocks of different speed do not matter.
   */
  static final long PERIOD_MS = 500;

  private record Gift(long givenMs, double tokens) {}

  private final Deque<Gift> gifts = new ArrayDeque<>();
  private double given;
  private long blockedUntilMs = Long.MIN_VALUE;

  /** Returns how many tokens may be given now under a limit. */
  double room(double limit, long nowMs) {
    while (!gifts.isEmpty() && nowMs - gifts.peekFirst().givenMs() >= PERIOD_MS) {
      given -= gifts.pollFirst().tokens();
    }
    if (gifts.isEmpty()) {
      given = 0;
    }
    return nowMs < blockedUntilMs ? 0 : Math.max(0, limit - given);
  }

  void record(double tokens, long nowMs) {
    gifts.addLast(new Gift(nowMs, tokens));
    given += tokens;
  }

  /** Gives nothing for one period, since gifts of an earlier process may still be valid. */
  void block(long nowMs) {
    blockedUntilMs = nowMs + PERIOD_MS;
  }
}
