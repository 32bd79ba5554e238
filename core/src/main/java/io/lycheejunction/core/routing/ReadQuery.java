package io.lycheejunction.core.routing;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A read that needs a target.
 *
 * @param group the group to read from
 * @param view what is known of the group
 * @param failureDomain the failure domain of this proxy
 * @param leaving the names of targets that get no new work
 * @param floor the position that the read must see
 * @param maxAgeMs the largest age of the read's data, in milliseconds; empty for no age rule
 */
public record ReadQuery(
    GroupSpec group,
    GroupView view,
    String failureDomain,
    Set<String> leaving,
    LogPosition floor,
    Optional<Long> maxAgeMs) {
  /** Rejects null components and copies the set. */
  public ReadQuery {
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(view, "view is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    leaving = Set.copyOf(leaving);
    Objects.requireNonNull(floor, "floor is null");
    Objects.requireNonNull(maxAgeMs, "maxAgeMs is null");
  }
}
