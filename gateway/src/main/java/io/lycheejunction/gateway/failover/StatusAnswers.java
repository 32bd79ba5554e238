package io.lycheejunction.gateway.failover;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What the targets of a service have answered about their roles.
 *
 * @param all the answers, at most one for each target
 */
record StatusAnswers(List<Candidate> all) {
  StatusAnswers {
    all = List.copyOf(all);
  }

  /** Returns the newest term that any target knows, or 0 if none has answered. */
  long newestTerm() {
    return all.stream().mapToLong(Candidate::term).max().orElse(0);
  }

  /** Returns the primary of the newest term, or empty if it has not answered. */
  Optional<Candidate> leader() {
    long newestTerm = newestTerm();
    return all.stream()
        .filter(Candidate::primary)
        .filter(candidate -> candidate.term() == newestTerm)
        .max(Comparator.comparing(candidate -> candidate.handle().target().id()));
  }

  /**
   * Returns the primaries of older terms. Each was replaced, and goes on since it has not noticed.
   */
  List<Candidate> replaced() {
    long newestTerm = newestTerm();
    return all.stream()
        .filter(Candidate::primary)
        .filter(candidate -> candidate.term() < newestTerm)
        .toList();
  }

  /** Returns the targets that can be promoted, which are the replicas. */
  List<Candidate> replicas() {
    return all.stream().filter(candidate -> !candidate.primary()).toList();
  }
}
