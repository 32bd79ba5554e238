package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.Comparator;
import java.util.Objects;

/**
 * A target that can be promoted, with its replication position.
 *
 * @param handle the target
 * @param received the last log position that it has received
 * @param term the newest term that it knows
 * @param primary true if it is the primary of that term
 */
record Candidate(TargetHandle handle, LogPosition received, long term, boolean primary) {
  /** Orders candidates by received position; promoting the last one loses the fewest commits. */
  static final Comparator<Candidate> BY_POSITION =
      Comparator.comparing(Candidate::received)
          .thenComparing(candidate -> candidate.handle().target().id());

  Candidate {
    Objects.requireNonNull(handle, "handle is null");
    Objects.requireNonNull(received, "received is null");
  }
}
