package io.lycheejunction.standin.model;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Locale;
import java.util.regex.Pattern;

/** A parsed statement of the statement language of simulated instances. */
sealed interface Statement {
  Pattern WHITESPACE = Pattern.compile("\\s+");

  /** A statement that changes one key of a ledger. */
  sealed interface Write extends Statement {

    /** Returns the name of the ledger. */
    String ledger();

    /** Returns the key within the ledger. */
    String key();
  }

  /** Replaces all rows of a key with one row. */
  record Put(String ledger, String key, String value) implements Write {}

  /** Adds a row to a key. */
  record Append(String ledger, String key, String value) implements Write {}

  /** Removes all rows of a key. */
  record Delete(String ledger, String key) implements Write {}

  /** Reads the rows of a key. */
  record Get(String ledger, String key) implements Statement {}

  /** Reads the rows of a ledger, at most {@code limit}. */
  record Scan(String ledger, int limit) implements Statement {}

  /** Occupies a statement slot for a duration. */
  record Sleep(long durationMs) implements Statement {}

  /**
   * Parses a statement.
   *
   * @param text the text of the statement
   * @return the statement, or {@code BAD_STATEMENT}
   */
  static Result<Statement> parse(String text) {
    String[] words = WHITESPACE.split(text.strip(), 4);
    String verbAndWordCount = words[0].toLowerCase(Locale.ROOT) + "/" + words.length;
    return switch (verbAndWordCount) {
      case "put/4" -> Result.success(new Put(words[1], words[2], words[3]));
      case "append/4" -> Result.success(new Append(words[1], words[2], words[3]));
      case "delete/3" -> Result.success(new Delete(words[1], words[2]));
      case "get/3" -> Result.success(new Get(words[1], words[2]));
      case "scan/2" -> Result.success(new Scan(words[1], Integer.MAX_VALUE));
      case "scan/4" ->
          words[2].equals("limit") ? scan(words[1], words[3], text) : badStatement(text);
      case "sleep/2" ->
          words[1].matches("\\d{1,9}")
              ? Result.success(new Sleep(Long.parseLong(words[1])))
              : badStatement(text);
      default -> badStatement(text);
    };
  }

  private static Result<Statement> scan(String ledger, String limit, String text) {
    return limit.matches("\\d{1,9}")
        ? Result.success(new Scan(ledger, Integer.parseInt(limit)))
        : badStatement(text);
  }

  private static Result<Statement> badStatement(String text) {
    return Result.failure(ResultCode.BAD_STATEMENT, "not a statement: " + text);
  }
}
