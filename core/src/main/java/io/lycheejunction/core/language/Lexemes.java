package io.lycheejunction.core.language;

import java.util.Locale;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.pattern.Patterns;

/** The tokens of the operator language; each parser also skips the whitespace after its token. */
final class Lexemes {
  static final String NAME_PATTERN = "[a-z][a-z0-9-]{0,62}";
  static final String WORD_PATTERN = "[A-Za-z_][A-Za-z0-9_.-]{0,99}";

  private static final String WORD_END = "(?![A-Za-z0-9_.-])";
  private static final Parser<Void> WHITESPACE = Scanners.WHITESPACES.skipMany();

  static final Parser<String> NAME = lexeme(NAME_PATTERN + WORD_END, "name");
  static final Parser<String> WORD = lexeme(WORD_PATTERN + WORD_END, "text");
  static final Parser<String> COLUMN = lexeme("[a-z_]{1,40}" + WORD_END, "column");
  static final Parser<String> CHANGE_ID = lexeme("[A-Za-z0-9-]{1,64}" + WORD_END, "change id");
  static final Parser<String> ADDRESS =
      lexeme("([0-9.]{7,15}|\\[[0-9a-fA-F:.]{2,45}]):\\d{1,5}" + WORD_END, "ip:port");
  static final Parser<Integer> NUMBER =
      lexeme("\\d{1,9}" + WORD_END, "number").map(Integer::valueOf);
  static final Parser<Long> LONG = lexeme("\\d{1,18}" + WORD_END, "number").map(Long::valueOf);
  static final Parser<Long> DURATION =
      lexeme("\\d{1,9}(ms|s|m|h)" + WORD_END, "duration with ms, s, m or h").map(Durations::parse);
  static final Parser<String> QUOTED =
      lexeme("'[^']{0,200}'", "quoted text").map(text -> text.substring(1, text.length() - 1));

  private Lexemes() {}

  private static Parser<String> lexeme(String pattern, String label) {
    return Patterns.regex(pattern).toScanner(label).source().followedBy(WHITESPACE);
  }

  /**
   * Returns a parser of the keyword.
   *
   * @param word the keyword in lower case
   * @return the parser
   */
  static Parser<Void> keyword(String word) {
    return Patterns.regex(word + WORD_END).toScanner(word).followedBy(WHITESPACE);
  }

  /**
   * Returns a parser of the symbol.
   *
   * @param symbol the symbol
   * @return the parser
   */
  static Parser<Void> symbol(String symbol) {
    return Patterns.string(symbol).toScanner(symbol).followedBy(WHITESPACE);
  }

  /**
   * Returns a parser of the constants of an enum, written in lower case.
   *
   * @param type the class of the enum
   * @param <E> the type of the enum
   * @return the parser
   */
  static <E extends Enum<E>> Parser<E> oneOf(Class<E> type) {
    Parser<E> choice = Parsers.never();
    for (E value : type.getEnumConstants()) {
      choice = Parsers.or(choice, keyword(keywordOf(value)).retn(value));
    }
    return choice;
  }

  /**
   * Returns the keyword of an enum constant.
   *
   * @param value the constant
   * @return the name of the constant in lower case
   */
  static String keywordOf(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns a parser that skips whitespace at the beginning of the text.
   *
   * @param body the parser of the text that follows
   * @param <T> the type of the parsed value
   * @return the parser
   */
  static <T> Parser<T> skipLeadingWhitespace(Parser<T> body) {
    return WHITESPACE.next(body);
  }
}
