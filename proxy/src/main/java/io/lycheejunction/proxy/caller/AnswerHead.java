package io.lycheejunction.proxy.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.lycheejunction.core.result.Outcome;
import java.util.Locale;
import java.util.Optional;

/**
 * The fields of an answer's JSON object that come before its rows.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param outcome {@code done}, {@code refused-not-run} or {@code outcome-unknown}
 * @param detail a one-line explanation
 * @param token the session token
 * @param replayed true if the rows come from an earlier execution with the same idempotency key
 * @param target the target that answered
 * @param ageMs the proven upper bound of the data's age, in milliseconds
 * @param retryAfterMs the minimum delay before a retry, in milliseconds; 0 if unknown
 * @param transaction the identifier of the new transaction, if the request began one
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
record AnswerHead(
    int code,
    String name,
    String outcome,
    String detail,
    String token,
    boolean replayed,
    Optional<String> target,
    Optional<Long> ageMs,
    long retryAfterMs,
    Optional<String> transaction) {

  /**
   * Returns the head of an answer.
   *
   * @param answer the answer
   * @param token the encoded session token
   * @return the head
   */
  static AnswerHead of(Answer answer, String token) {
    return new AnswerHead(
        answer.code().number(),
        answer.code().name(),
        outcomeText(answer.code().outcome()),
        answer.detail(),
        token,
        answer.replayed(),
        answer.target(),
        answer.ageMs(),
        answer.retryAfterMs(),
        answer.transaction());
  }

  private static String outcomeText(Outcome outcome) {
    return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
