package io.lycheejunction.common.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;

/** A request to an instance, sent by POST to {@link #PATH}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TargetMessage.Open.class, name = "open"),
  @JsonSubTypes.Type(value = TargetMessage.Close.class, name = "close"),
  @JsonSubTypes.Type(value = TargetMessage.Execute.class, name = "execute"),
  @JsonSubTypes.Type(value = TargetMessage.Begin.class, name = "begin"),
  @JsonSubTypes.Type(value = TargetMessage.Commit.class, name = "commit"),
  @JsonSubTypes.Type(value = TargetMessage.Rollback.class, name = "rollback"),
  @JsonSubTypes.Type(value = TargetMessage.Status.class, name = "s"),
  @JsonSubTypes.Type(value = TargetMessage.AwaitReceived.class, name = "await"),
  @JsonSubTypes.Type(value = TargetMessage.Fence.class, name = "fence"),
  @JsonSubTypes.Type(value = TargetMessage.Promote.class, name = "promote"),
  @JsonSubTypes.Type(value = TargetMessage.LookUp.class, name = "lookUp"),
  @JsonSubTypes.Type(value = TargetMessage.Cancel.class, name = "cancel"),
})
public sealed interface TargetMessage {
  /** The path that all requests go to. */
  String PATH = "/t";

  /**
   * Returns the identifier that the answer carries too.
   *
   * @return the identifier
   */
  String correlationId();

  /**
   * Opens a session.
   *
   * @param correlationId identifies the request
   */
  record Open(@JsonProperty("c") String correlationId) implements TargetMessage {}

  /**
   * Closes a session.
   *
   * @param correlationId identifies the request
   * @param session the session
   */
  record Close(@JsonProperty("c") String correlationId, String session) implements TargetMessage {}

  /**
   * Runs a statement.
   *
   * @param correlationId identifies the request
   * @param session the session
   * @param term the term in which a write must run
   * @param access whether the statement is declared as a read or a write
   * @param statement the text of the statement
   * @param key the idempotency key, if any
   * @param timeoutMs the time to wait, in milliseconds
   */
  record Execute(
      @JsonProperty("c") String correlationId,
      String session,
      long term,
      Access access,
      String statement,
      Optional<String> key,
      long timeoutMs)
      implements TargetMessage {}

  /**
   * Starts a transaction.
   *
   * @param correlationId identifies the request
   * @param session the session
   * @param term the term in which the writes of the transaction must run
   */
  record Begin(@JsonProperty("c") String correlationId, String session, long term)
      implements TargetMessage {}

  /**
   * Commits the open transaction.
   *
   * @param correlationId identifies the request
   * @param session the session
   * @param key the idempotency key, if any
   */
  record Commit(@JsonProperty("c") String correlationId, String session, Optional<String> key)
      implements TargetMessage {}

  /**
   * Rolls back the open transaction.
   *
   * @param correlationId identifies the request
   * @param session the session
   */
  record Rollback(@JsonProperty("c") String correlationId, String session)
      implements TargetMessage {}

  /**
   * Requests the status of the instance.
   *
   * @param correlationId identifies the request
   */
  record Status(@JsonProperty("c") String correlationId) implements TargetMessage {}

  /**
   * Requests the status as soon as the instance has received a log position.
   *
   * @param correlationId identifies the request
   * @param position the log position
   * @param timeoutMs the time to wait, in milliseconds
   */
  record AwaitReceived(
      @JsonProperty("c") String correlationId, LogPosition position, long timeoutMs)
      implements TargetMessage {}

  /**
   * Claims a term.
   *
   * @param correlationId identifies the request
   * @param term the term
   * @param claimant identifies the claim
   */
  record Fence(@JsonProperty("c") String correlationId, long term, String claimant)
      implements TargetMessage {}

  /**
   * Makes the instance the primary of a term.
   *
   * @param correlationId identifies the request
   * @param term the term
   * @param claimant identifies the claim
   */
  record Promote(@JsonProperty("c") String correlationId, long term, String claimant)
      implements TargetMessage {}

  /**
   * Requests the outcome recorded for an idempotency key.
   *
   * @param correlationId identifies the request
   * @param term the term in which the instance must be the primary
   * @param key the idempotency key
   */
  record LookUp(@JsonProperty("c") String correlationId, long term, String key)
      implements TargetMessage {}

  /**
   * Cancels an idempotency key unless its outcome is already recorded.
   *
   * @param correlationId identifies the request
   * @param term the term in which the instance must be the primary
   * @param key the idempotency key
   */
  record Cancel(@JsonProperty("c") String correlationId, long term, String key)
      implements TargetMessage {}
}
