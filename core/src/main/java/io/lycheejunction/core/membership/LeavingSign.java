package io.lycheejunction.core.membership;

import java.util.Objects;

/**
 * Information that a target is leaving, as one proxy relays it to another.
 *
 * @param target the name of the target
 * @param ageMs the time since the platform's list or the target reported it, in milliseconds
 */
public record LeavingSign(String target, long ageMs) {
  /** Rejects a null target. */
  public LeavingSign {
    Objects.requireNonNull(target, "target is null");
  }
}
