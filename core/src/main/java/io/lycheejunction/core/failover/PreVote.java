package io.lycheejunction.core.failover;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A vote of the failure domains of a group on whether its primary is gone; immutable.
 *
 * <p>In a group with fewer than three failure domains each instance has a vote instead, which the
 * proxy that monitors the instance casts.
 *
 * @param electorate the names of the voters: failure domains or instances
 * @param votes the votes so far, by voter; true if the voter considers the primary gone
 */
public record PreVote(Set<String> electorate, Map<String, Boolean> votes) {
  private static final int MIN_DOMAINS = 3;

  /** The result of the votes so far. */
  public enum Outcome {
    /** Neither result is certain yet. */
    OPEN,
    /** A majority considers the primary gone. */
    GRANTED,
    /** The outstanding votes can no longer complete a majority. */
    DENIED
  }

  /** Copies the collections. */
  public PreVote {
    electorate = Set.copyOf(electorate);
    votes = Map.copyOf(votes);
  }

  /**
   * Returns a pre-vote of the group without any votes.
   *
   * @param spec the configuration of the group
   * @return a pre-vote with an open outcome
   */
  public static PreVote of(GroupSpec spec) {
    Set<String> voters = new HashSet<>();
    for (TargetSpec target : spec.targets()) {
      voters.add(voter(spec, target));
    }
    return new PreVote(voters, Map.of());
  }

  /**
   * Returns the name under which the proxy that monitors a target votes.
   *
   * @param spec the configuration of the group
   * @param target a target of the group
   * @return the target's failure domain, or the target's name if the group has fewer than three
   *     failure domains
   */
  public static String voter(GroupSpec spec, TargetSpec target) {
    List<String> domains =
        spec.targets().stream().map(TargetSpec::failureDomain).distinct().toList();
    return domains.size() >= MIN_DOMAINS ? target.failureDomain() : target.name();
  }

  /**
   * Returns the pre-vote with one more vote; a vote from outside the electorate and a second vote
   * of the same voter are ignored.
   *
   * @param voter the name of the voter
   * @param gone true if the voter considers the primary gone
   * @return the new pre-vote
   */
  public PreVote cast(String voter, boolean gone) {
    if (!electorate.contains(voter) || votes.containsKey(voter)) {
      return this;
    }
    Map<String, Boolean> next = new HashMap<>(votes);
    next.put(voter, gone);
    return new PreVote(electorate, next);
  }

  /**
   * Returns the result of the votes so far.
   *
   * @return the outcome, {@code OPEN} until a majority is certain or impossible
   */
  public Outcome outcome() {
    int majority = electorate.size() / 2 + 1;
    int granted = count(votes.values(), true);
    int outstanding = electorate.size() - votes.size();
    if (granted >= majority) {
      return Outcome.GRANTED;
    }
    return granted + outstanding >= majority ? Outcome.OPEN : Outcome.DENIED;
  }

  private static int count(Collection<Boolean> values, boolean wanted) {
    return (int) values.stream().filter(value -> value == wanted).count();
  }
}
