package io.lycheejunction.gateway.organisation;

/**
 * The rate limit of an organisation, over all VMs together.
 *
 * @param ratePerS the operations that it may run in a second, in the mean
 * @param burst the operations that it may run at once after a pause
 */
public record Quota(double ratePerS, double burst) {
  /** The highest rate and burst that a configuration may contain. */
  public static final double MAX = 1_000_000;

  /** Rejects values outside their range; the message names the component, the value and rule. */
  public Quota {
    if (!(ratePerS > 0 && ratePerS <= MAX)) {
      throw new IllegalArgumentException(
          "rate must be above 0 and at most " + MAX + " but is " + ratePerS);
    }
    if (!(burst >= 1 && burst <= MAX)) {
      throw new IllegalArgumentException("burst must be from 1 to " + MAX + " but is " + burst);
    }
  }
}
