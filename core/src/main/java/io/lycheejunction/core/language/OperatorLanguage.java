package io.lycheejunction.core.language;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;

/** Parses statements of the operator language. */
public final class OperatorLanguage {
  /** The maximum length of a statement, in characters. */
  public static final int MAX_STATEMENT_CHARS = 8_192;

  private static final String END_LABEL = "end of statement";
  private static final String WHITESPACE_LABEL = "whitespaces";
  private static final int MAX_FOUND_CHARS = 20;

  /**
   * A character that no statement contains. Appended to the beginning of a statement, it makes the
   * parser fail there and report what it expects.
   */
  private static final char INVALID_CHARACTER = '\u0001';

  private OperatorLanguage() {}

  /** The outcome of parsing a text. */
  public sealed interface Parsed {
    /**
     * The text is a valid statement.
     *
     * @param input the statement with its optional version condition
     */
    record Complete(ConditionalStatement input) implements Parsed {}

    /**
     * The text is not a valid statement.
     *
     * @param error the position and the cause of the error
     */
    record Invalid(SyntaxError error) implements Parsed {}
  }

  /**
   * Returns the statement that a text contains, or its syntax error.
   *
   * @param text the text of the statement
   * @return the statement, or the syntax error
   */
  public static Parsed parse(String text) {
    if (text.length() > MAX_STATEMENT_CHARS) {
      return new Parsed.Invalid(
          new SyntaxError(MAX_STATEMENT_CHARS + 1, List.of(END_LABEL), "more characters"));
    }
    try {
      return new Parsed.Complete(Grammar.INPUT.parse(text));
    } catch (ParserException e) {
      return new Parsed.Invalid(error(text, e));
    }
  }

  /**
   * Returns the statement that a text contains, or its syntax error as a fault.
   *
   * @param text the text of the statement
   * @return the statement, or {@code SYNTAX_ERROR} with a one-line description
   */
  public static Result<ConditionalStatement> parseToResult(String text) {
    return switch (parse(text)) {
      case Parsed.Complete(ConditionalStatement input) -> Result.success(input);
      case Parsed.Invalid(SyntaxError error) ->
          Result.failure(ResultCode.SYNTAX_ERROR, error.describe());
    };
  }

  /**
   * Returns the tokens that may follow the beginning of a statement, for completion.
   *
   * @param beginning the beginning of a statement, up to the end of a word
   * @return the keywords and the kinds of values, ordered; empty if the beginning is invalid
   */
  public static List<String> expectedAfter(String beginning) {
    String probe = beginning + " " + INVALID_CHARACTER;
    return parse(probe) instanceof Parsed.Invalid(SyntaxError error)
            && error.column() == probe.length()
        ? error.expected()
        : List.of();
  }

  private static SyntaxError error(String text, ParserException e) {
    Optional<ParseErrorDetails> details = Optional.ofNullable(e.getErrorDetails());
    int index = Math.min(details.map(ParseErrorDetails::getIndex).orElse(0), text.length());
    TreeSet<String> expected = new TreeSet<>();
    for (String label : details.map(ParseErrorDetails::getExpected).orElse(List.of())) {
      if (!label.equals(WHITESPACE_LABEL)) {
        expected.add(label.equals("EOF") ? END_LABEL : label);
      }
    }
    if (expected.isEmpty()) {
      expected.add("a statement");
    }
    return new SyntaxError(index + 1, List.copyOf(expected), textAt(text, index));
  }

  private static String textAt(String text, int index) {
    if (index >= text.length()) {
      return "the end";
    }
    int end = index + 1;
    while (end < text.length()
        && end - index < MAX_FOUND_CHARS
        && !Character.isWhitespace(text.charAt(end))) {
      end++;
    }
    return "'" + text.substring(index, end) + "'";
  }
}
