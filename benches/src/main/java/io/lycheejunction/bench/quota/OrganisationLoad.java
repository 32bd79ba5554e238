package io.lycheejunction.bench.quota;

import io.lycheejunction.gateway.organisation.Quota;
import io.lycheejunction.gateway.quota.QuotaAllowance;
import java.util.ArrayList;
import java.util.List;

/** The operations of one organisation, compared with one token bucket for all VMs. */
final class OrganisationLoad {
  private static final double MS_PER_S = 1_000;

  private final String name;
  private final Quota quota;
  private final List<Long> starts = new ArrayList<>();
  private double idealTokens;
  private long idealMs;
  private int ideallyStarted;

  /** Creates a load whose ideal bucket is empty, as the buckets of holders that start. */
  OrganisationLoad(String name, Quota quota) {
    this.name = name;
    this.quota = quota;
  }

  String name() {
    return name;
  }

  Quota quota() {
    return quota;
  }

  void recordOffer(long nowMs) {
    double gained = quota.ratePerS() * (nowMs - idealMs) / MS_PER_S;
    idealTokens = Math.min(quota.burst(), idealTokens + gained);
    idealMs = nowMs;
    if (idealTokens >= 1) {
      idealTokens--;
      ideallyStarted++;
    }
  }

  void recordStart(long nowMs) {
    starts.add(nowMs);
  }

  int ideallyStarted() {
    return ideallyStarted;
  }

  int started() {
    return starts.size();
  }

  /** Returns the operations in the worst window as a share of what the allowance permits. */
  double worstWindowShare(QuotaAllowance allowance) {
    int worst = 0;
    int first = 0;
    for (int last = 0; last < starts.size(); last++) {
      while (starts.get(last) - starts.get(first) >= allowance.windowMs()) {
        first++;
      }
      worst = Math.max(worst, last - first + 1);
    }
    return worst / allowance.maxInWindow(quota);
  }
}
