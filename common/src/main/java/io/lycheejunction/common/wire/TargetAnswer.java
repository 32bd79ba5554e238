package io.lycheejunction.common.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;

/** An instance's answer to a {@link TargetMessage}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TargetAnswer.Failed.class, name = "f"),
  @JsonSubTypes.Type(value = TargetAnswer.Opened.class, name = "o"),
  @JsonSubTypes.Type(value = TargetAnswer.Rows.class, name = "r"),
  @JsonSubTypes.Type(value = TargetAnswer.Status.class, name = "s"),
  @JsonSubTypes.Type(value = TargetAnswer.Key.class, name = "k"),
})
public sealed interface TargetAnswer {

  /**
   * Returns the identifier of the request.
   *
   * @return the identifier
   */
  String correlationId();

  /**
   * The request was refused or its outcome is not known.
   *
   * @param correlationId identifies the request
   * @param fault the reason
   */
  record Failed(@JsonProperty("c") String correlationId, Fault fault) implements TargetAnswer {}

  /**
   * A session was opened.
   *
   * @param correlationId identifies the request
   * @param session the session
   */
  record Opened(@JsonProperty("c") String correlationId, String session) implements TargetAnswer {}

  /**
   * A statement, or the start or end of a transaction, succeeded.
   *
   * @param correlationId identifies the request
   * @param rows the rows of the whole answer, in order
   * @param position for a write, the log position of its commit; for a read, the applied position
   * @param replayed true if the rows were recorded by an earlier run with the same key
   */
  record Rows(
      @JsonProperty("c") String correlationId,
      List<String> rows,
      LogPosition position,
      boolean replayed)
      implements TargetAnswer {

    /**
     * Returns the reply without the wire format.
     *
     * @return the reply
     */
    public TargetReply reply() {
      return new TargetReply.Answered(rows, position, replayed);
    }
  }

  /**
   * The status that the instance reports, with short JSON property names.
   *
   * @param correlationId identifies the request
   * @param target the name of the instance
   * @param term the highest accepted term
   * @param primary true for the primary
   * @param receivedTerm the term of the last received entry
   * @param receivedOffset the offset of the last received entry
   * @param appliedTerm the term of the last applied entry
   * @param appliedOffset the offset of the last applied entry
   * @param leaving true if the instance is leaving
   */
  record Status(
      @JsonProperty("c") String correlationId,
      @JsonProperty("n") String target,
      @JsonProperty("t") long term,
      @JsonProperty("p") boolean primary,
      @JsonProperty("rt") long receivedTerm,
      @JsonProperty("ro") long receivedOffset,
      @JsonProperty("at") long appliedTerm,
      @JsonProperty("ao") long appliedOffset,
      @JsonProperty("l") boolean leaving)
      implements TargetAnswer {

    /**
     * Returns the message for a status.
     *
     * @param correlationId identifies the request
     * @param status the status
     * @return the message
     */
    public static Status of(String correlationId, TargetStatus status) {
      return new Status(
          correlationId,
          status.target(),
          status.term(),
          status.role() == Role.PRIMARY,
          status.received().term(),
          status.received().offset(),
          status.applied().term(),
          status.applied().offset(),
          status.leaving());
    }

    /**
     * Returns the status without the wire format.
     *
     * @return the status
     */
    public TargetStatus status() {
      return new TargetStatus(
          target,
          term,
          primary ? Role.PRIMARY : Role.REPLICA,
          new LogPosition(receivedTerm, receivedOffset),
          new LogPosition(appliedTerm, appliedOffset),
          leaving);
    }
  }

  /** The state of an idempotency key in the ledger. */
  enum KeyState {
    /** The statement or transaction with the key is committed. */
    RECORDED,
    /** The key is cancelled: nothing has run under it and nothing will. */
    CANCELLED,
    /** The ledger has no entry for the key. */
    ABSENT
  }

  /**
   * The outcome recorded for an idempotency key.
   *
   * @param correlationId identifies the request
   * @param state the state of the key in the ledger
   * @param position the log position
   * @param rows the recorded rows; empty unless the state is {@code RECORDED}
   */
  record Key(
      @JsonProperty("c") String correlationId,
      KeyState state,
      LogPosition position,
      List<String> rows)
      implements TargetAnswer {

    /**
     * Returns the message for an outcome.
     *
     * @param correlationId identifies the request
     * @param outcome the outcome
     * @return the message
     */
    public static Key of(String correlationId, KeyOutcome outcome) {
      return switch (outcome) {
        case KeyOutcome.Recorded(LogPosition position, List<String> rows) ->
            new Key(correlationId, KeyState.RECORDED, position, rows);
        case KeyOutcome.Cancelled(LogPosition position) ->
            new Key(correlationId, KeyState.CANCELLED, position, List.of());
        case KeyOutcome.Absent(LogPosition position) ->
            new Key(correlationId, KeyState.ABSENT, position, List.of());
      };
    }

    /**
     * Returns the outcome without the wire format.
     *
     * @return the outcome
     */
    public KeyOutcome outcome() {
      return switch (state) {
        case RECORDED -> new KeyOutcome.Recorded(position, rows);
        case CANCELLED -> new KeyOutcome.Cancelled(position);
        case ABSENT -> new KeyOutcome.Absent(position);
      };
    }
  }
}
