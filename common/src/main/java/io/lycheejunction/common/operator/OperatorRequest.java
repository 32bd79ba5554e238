package io.lycheejunction.common.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;

/**
 * A statement of an operator, as the body of the request has it.
 *
 * @param command the text of the statement
 * @param ifVersion the version that the configuration must have, if any
 * @param changeId identifies the change, so that it can be sent again
 * @param dryRun true to show the effect only
 * @param awaitRollout true to answer once the change is in force everywhere reachable
 */
public record OperatorRequest(
    String command,
    Optional<Long> ifVersion,
    Optional<String> changeId,
    boolean dryRun,
    @JsonProperty("wait") boolean awaitRollout) {
  /** Rejects null components. */
  public OperatorRequest {
    Objects.requireNonNull(command, "command is null");
    Objects.requireNonNull(ifVersion, "ifVersion is null");
    Objects.requireNonNull(changeId, "changeId is null");
  }
}
