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
 * Counts whether a majority of the failure domains of a group sees its primary gone.
 *
 * <p>A group within fewer than three failure domains counts the watchers of its instances instead.
 *
 * @param electorate the names of those that vote: failure domains or instances
 * @param votes the votes so far, true for gone; nobody votes twice
 */
public record PreVote(Set<String> electorate, Map<String, Boolean> votes) {
  private static final int MIN_DOMAINS = 3;

  /** What the votes so far decide. */
  public enum Outcome {
    /** The votes so far decide nothing. */
    OPEN,
    /** A majority sees the primary gone. */
    GRANTED,
    /** No majority can see the primary gone any more. */
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
   * @param spec the group
   * @return the pre-vote
   */
  public static PreVote of(GroupSpec spec) {
    Set<String> voters = new HashSet<>();
    for (TargetSpec target : spec.targets()) {
      voters.add(voter(spec, target));
    }
    return new PreVote(voters, Map.of());
  }

  /**
   * Returns the name under which the watcher of a target votes.
   *
   * @param spec the group
   * @param target the target
   * @return the failure domain, or the target's name in a group within few failure domains
   */
  public static String voter(GroupSpec spec, TargetSpec target) {
    List<String> domains =
        spec.targets().stream().map(TargetSpec::failureDomain).distinct().toList();
    return domains.size() >= MIN_DOMAINS ? target.failureDomain() : target.name();
  }

  /**
   * Returns the pre-vote with one more vote; a vote from outside the electorate is dropped, and the
   * first vote of a voter counts.
   *
   * @param voter the voter
   * @param gone true if the voter sees the primary gone
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
   * Returns what the votes decide.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    int majority = electorate.size() / 2 + 1;
    int granted = count(votes.values(), true);
    int open = electorate.size() - votes.size();
    if (granted >= majority) {
      return Outcome.GRANTED;
    }
    return granted + open >= majority ? Outcome.OPEN : Outcome.DENIED;
  }

  private static int count(Collection<Boolean> values, boolean wanted) {
    return (int) values.stream().filter(v -> v == wanted).count();
  }
}
