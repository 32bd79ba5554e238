package io.lycheejunction.common.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;

/**
 * The request body of an operator's statement.
 *
 * @param command the text of the statement
 * @param ifVersion the version that the configuration must have; empty for any
 * @param changeId the identifier of the change, which makes retries idempotent
 * @param dryRun true to return the effect without applying the change
 * @param awaitRollout true to answer only when all reachable proxies have applied the change
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
