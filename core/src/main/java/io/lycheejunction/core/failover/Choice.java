package io.lycheejunction.core.failover;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.port.TargetStatus;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the instance that a claimant promotes. */
public final class Choice {
  private static final Comparator<TargetStatus> BY_POSITION =
      Comparator.comparing(TargetStatus::received)
          .thenComparing(TargetStatus::applied)
          .thenComparing(TargetStatus::target, Comparator.reverseOrder());

  private Choice() {}

  /**
   * Returns the fenced instance to promote.
   *
   * <p>It is the one with the highest position, term first. A preferred instance goes before it if
   * a majority of the group is fenced at positions that it includes, because every acknowledged
   * write is then on it.
   *
   * @param spec the group
   * @param fenced the instances that accepted the claim, as of their answer
   * @param preferred the instance that an operator has named, if any
   * @return the instance, or empty if fewer than a majority are fenced
   */
  public static Optional<TargetStatus> of(
      GroupSpec spec, Collection<TargetStatus> fenced, Optional<String> preferred) {
    if (fenced.size() < spec.majority()) {
      return Optional.empty();
    }
    Optional<TargetStatus> named =
        fenced.stream()
            .filter(s -> preferred.equals(Optional.of(s.target())))
            .filter(s -> includesMajority(spec, fenced, s))
            .findFirst();
    return named.or(
        () ->
            fenced.stream()
                .filter(s -> !s.leaving() && !spec.drained().contains(s.target()))
                .filter(s -> includesMajority(spec, fenced, s))
                .max(BY_POSITION)
                .or(() -> fenced.stream().max(BY_POSITION)));
  }

  private static boolean includesMajority(
      GroupSpec spec, Collection<TargetStatus> fenced, TargetStatus candidate) {
    long included =
        fenced.stream().filter(s -> candidate.received().isAtLeast(s.received())).count();
    return included >= spec.majority();
  }
}
