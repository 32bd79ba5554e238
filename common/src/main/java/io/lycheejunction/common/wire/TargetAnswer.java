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
   * A statement, or the end or start of a transaction, was done.
   *
   * @param correlationId identifies the request
   * @param rows the rows
   * @param position the log position
   * @param replayed true if the rows come from an earlier run
   */
  record Rows(
      @JsonProperty("c") String correlationId,
      List<String> rows,
      LogPosition position,
      boolean replayed)
      implements TargetAnswer {

    /**
     * Returns the reply that the message stands for.
     *
     * @return the reply
     */
    public TargetReply reply() {
      return new TargetReply.Answered(rows, position, replayed);
    }
  }

  /**
   * What the instance says of itself, with short names on the wire.
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
     * Returns the status that the message stands for.
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

  /** What the ledger says of a key. */
  enum KeyState {
    /** Its statement or transaction is committed. */
    RECORDED,
    /** It is cancelled. */
    CANCELLED,
    /** There is no row for it. */
    ABSENT
  }

  /**
   * The outcome of a key.
   *
   * @param correlationId identifies the request
   * @param state what the ledger says
   * @param position the log position
   * @param rows the recorded rows
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
     * Returns the outcome that the message stands for.
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
