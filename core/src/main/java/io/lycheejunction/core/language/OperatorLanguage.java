package io.lycheejunction.core.language;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;

/** Parses the operators' language. */
public final class OperatorLanguage {
  /** The longest statement, in characters. */
  public static final int MAX_STATEMENT_CHARS = 8_192;

  private static final String END = "end of statement";
  private static final String GAP = "whitespaces";
  private static final int MAX_FOUND_CHARS = 20;

  /** A character that no statement contains, which makes the parser say what it expects. */
  private static final char MARKER = '\u0001';

  private OperatorLanguage() {}

  /** What became of parsing a text. */
  public sealed interface Parsed {
    /**
     * The text is a statement.
     *
     * @param input the statement with its condition
     */
    record Complete(Input input) implements Parsed {}

    /**
     * The text leaves the grammar.
     *
     * @param error where and why
     */
    record Wrong(SyntaxError error) implements Parsed {}
  }

  /**
   * Returns the statement that a text stands for.
   *
   * @param text the text
   * @return the statement, or where the text leaves the grammar
   */
  public static Parsed parse(String text) {
    if (text.length() > MAX_STATEMENT_CHARS) {
      return new Parsed.Wrong(
          new SyntaxError(MAX_STATEMENT_CHARS + 1, List.of(END), "more characters"));
    }
    try {
      return new Parsed.Complete(Grammar.INPUT.parse(text));
    } catch (ParserException e) {
      return new Parsed.Wrong(error(text, e));
    }
  }

  /**
   * Returns the statement that a text stands for, or a fault for the answer.
   *
   * @param text the text
   * @return the statement, or {@code SYNTAX_ERROR}
   */
  public static Result<Input> read(String text) {
    return switch (parse(text)) {
      case Parsed.Complete(Input input) -> Result.success(input);
      case Parsed.Wrong(SyntaxError error) ->
          Result.failure(ResultCode.SYNTAX_ERROR, error.describe());
    };
  }

  /**
   * Returns what may follow a beginning of a statement.
   *
   * @param beginning the beginning, up to the end of a word
   * @return the keywords and the kinds of values, ordered; empty if the beginning is wrong
   */
  public static List<String> expectedAfter(String beginning) {
    String marked = beginning + " " + MARKER;
    return parse(marked) instanceof Parsed.Wrong(SyntaxError error)
            && error.column() == marked.length()
        ? error.expected()
        : List.of();
  }

  private static SyntaxError error(String text, ParserException e) {
    Optional<ParseErrorDetails> details = Optional.ofNullable(e.getErrorDetails());
    int index = Math.min(details.map(ParseErrorDetails::getIndex).orElse(0), text.length());
    TreeSet<String> expected = new TreeSet<>();
    for (String each : details.map(ParseErrorDetails::getExpected).orElse(List.of())) {
      if (!each.equals(GAP)) {
        expected.add(each.equals("EOF") ? END : each);
      }
    }
    if (expected.isEmpty()) {
      expected.add("a statement");
    }
    return new SyntaxError(index + 1, List.copyOf(expected), found(text, index));
  }

  private static String found(String text, int index) {
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
