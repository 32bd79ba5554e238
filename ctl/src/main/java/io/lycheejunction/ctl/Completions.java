package io.lycheejunction.ctl;

import io.lycheejunction.core.language.OperatorLanguage;
import java.util.List;

/** Completes the keywords of the operator language. */
final class Completions {
  private static final List<String> VALUE_PLACEHOLDERS =
      List.of("name", "text", "column", "number", "ip:port");

  private Completions() {}

  /**
   * Returns the keywords that can continue a statement.
   *
   * @param precedingText the text of the statement before the current word
   * @param prefix the part of the current word before the cursor
   * @return the keywords that start with the prefix, ordered
   */
  static List<String> keywordsAfter(String precedingText, String prefix) {
    return OperatorLanguage.expectedAfter(precedingText).stream()
        .filter(word -> word.startsWith(prefix))
        .filter(word -> !VALUE_PLACEHOLDERS.contains(word) && word.indexOf(' ') < 0)
        .toList();
  }
}
