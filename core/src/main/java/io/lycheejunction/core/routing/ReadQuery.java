package io.lycheejunction.core.routing;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The properties of a read that determine which targets may serve it.
 *
 * @param group the configuration of the group to read from
 * @param view the latest view of the group, with its primary
 * @param failureDomain the failure domain of this proxy
 * @param leaving the names of the targets that are leaving and get no new work
 * @param floor the position that a target must have applied to serve the read
 * @param maxAgeMs the maximum age of the data, in milliseconds; empty if the age does not matter
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
