package io.lycheejunction.core.failover;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.port.TargetStatus;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Selects the instance to promote once a majority of a group has been fenced. */
public final class CandidateSelection {
  private static final Comparator<TargetStatus> BY_POSITION =
      Comparator.comparing(TargetStatus::received)
          .thenComparing(TargetStatus::applied)
          .thenComparing(TargetStatus::target, Comparator.reverseOrder());

  private CandidateSelection() {}

  /**
   * Returns the fenced instance to promote.
   *
   * <p>The preferred instance is selected if its position includes those of a fenced majority,
   * because it then holds every acknowledged write. Next come the instances of which the same is
   * true and that are neither leaving nor drained, the highest position first. If there is none,
   * the fenced instance with the highest position is selected.
   *
   * @param spec the configuration of the group
   * @param fenced the statuses with which the fenced instances accepted the claim
   * @param preferred the name of the instance that an operator asked to promote, if any
   * @return the status of the selected instance, or empty if fewer than a majority are fenced
   */
  public static Optional<TargetStatus> select(
      GroupSpec spec, Collection<TargetStatus> fenced, Optional<String> preferred) {
    if (fenced.size() < spec.majority()) {
      return Optional.empty();
    }
    Optional<TargetStatus> eligiblePreferred =
        fenced.stream()
            .filter(status -> preferred.equals(Optional.of(status.target())))
            .filter(status -> includesMajority(spec, fenced, status))
            .findFirst();
    return eligiblePreferred.or(
        () ->
            fenced.stream()
                .filter(status -> !status.leaving() && !spec.drained().contains(status.target()))
                .filter(status -> includesMajority(spec, fenced, status))
                .max(BY_POSITION)
                .or(() -> fenced.stream().max(BY_POSITION)));
  }

  private static boolean includesMajority(
      GroupSpec spec, Collection<TargetStatus> fenced, TargetStatus candidate) {
    long included =
        fenced.stream().filter(status -> candidate.received().isAtLeast(status.received())).count();
    return included >= spec.majority();
  }
}
