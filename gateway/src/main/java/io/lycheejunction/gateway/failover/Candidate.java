package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.Comparator;
import java.util.Objects;

/**
 * A target that may lead, with the position that it has received.
 *
 * @param handle the target
 * @param received its last received position
 * @param term the newest term that it knows
 * @param primary true if it leads that term
 */
record Candidate(TargetHandle handle, LogPosition received, long term, boolean primary) {
  /** Orders candidates by what would be lost: the one that has received most comes last. */
  static final Comparator<Candidate> BY_POSITION =
      Comparator.comparing(Candidate::received)
          .thenComparing(candidate -> candidate.handle().target().id());

  Candidate {
    Objects.requireNonNull(handle, "handle is null");
    Objects.requireNonNull(received, "received is null");
  }
}
