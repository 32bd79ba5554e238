package io.lycheejunction.ctl;

import io.lycheejunction.core.language.OperatorLanguage;
import java.util.List;

/** Gives the keywords that can continue a statement. */
final class Completions {
  private static final List<String> KINDS_OF_VALUES =
      List.of("name", "text", "column", "number", "ip:port");

  private Completions() {}

  /**
   * Returns the keywords that fit.
   *
   * @param beginning the statement up to the word that is being typed
   * @param prefix the typed part of that word
   * @return the keywords, ordered
   */
  static List<String> after(String beginning, String prefix) {
    return OperatorLanguage.expectedAfter(beginning).stream()
        .filter(word -> word.startsWith(prefix))
        .filter(word -> !KINDS_OF_VALUES.contains(word) && word.indexOf(' ') < 0)
        .toList();
  }
}
