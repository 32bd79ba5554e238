package io.lycheejunction.common.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The answer to an operator's statement.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param outcome whether the statement took effect, did not, or may have
 * @param text the human-readable answer
 * @param table the rows of a {@code show} statement
 * @param changeId the identifier of the change, if the statement changes the configuration
 * @param version the configuration version that the change created, if it was accepted
 * @param inForce the proxies that are known to have applied that version
 * @param notReached the proxies that are not known to have applied it
 */
public record OperatorReply(
    int code,
    String name,
    Outcome outcome,
    String text,
    Optional<JsonNode> table,
    Optional<String> changeId,
    Optional<Long> version,
    List<String> inForce,
    List<String> notReached) {
  /** Rejects null components and copies the lists. */
  public OperatorReply {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(outcome, "outcome is null");
    Objects.requireNonNull(text, "text is null");
    Objects.requireNonNull(table, "table is null");
    Objects.requireNonNull(changeId, "changeId is null");
    Objects.requireNonNull(version, "version is null");
    inForce = List.copyOf(inForce);
    notReached = List.copyOf(notReached);
  }

  /**
   * Returns the answer to a statement that succeeded.
   *
   * @param text the human-readable answer
   * @return the answer
   */
  public static OperatorReply done(String text) {
    return withoutVersion(ResultCode.DONE, text, Optional.empty(), Optional.empty());
  }

  /**
   * Returns the answer to a {@code show} statement.
   *
   * @param text the table as text
   * @param table the rows
   * @return the answer
   */
  public static OperatorReply shown(String text, JsonNode table) {
    return withoutVersion(ResultCode.DONE, text, Optional.of(table), Optional.empty());
  }

  /**
   * Returns the answer to a statement that failed or whose outcome is unknown.
   *
   * @param fault the reason
   * @param changeId the identifier of the change, if the statement changes the configuration
   * @return the answer
   */
  public static OperatorReply failed(Fault fault, Optional<String> changeId) {
    return withoutVersion(fault.code(), fault.detail(), Optional.empty(), changeId);
  }

  /**
   * Returns the answer to an accepted change.
   *
   * @param text the human-readable answer
   * @param changeId the identifier of the change
   * @param version the configuration version that the change created
   * @param inForce the proxies that are known to have applied that version
   * @param notReached the proxies that are not known to have applied it
   * @return the answer
   */
  public static OperatorReply accepted(
      String text, String changeId, long version, List<String> inForce, List<String> notReached) {
    return new OperatorReply(
        ResultCode.DONE.number(),
        ResultCode.DONE.name(),
        Outcome.DONE,
        text,
        Optional.empty(),
        Optional.of(changeId),
        Optional.of(version),
        inForce,
        notReached);
  }

  private static OperatorReply withoutVersion(
      ResultCode code, String text, Optional<JsonNode> table, Optional<String> changeId) {
    return new OperatorReply(
        code.number(),
        code.name(),
        code.outcome(),
        text,
        table,
        changeId,
        Optional.empty(),
        List.of(),
        List.of());
  }
}
