package io.lycheejunction.standin.model;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Locale;
import java.util.regex.Pattern;

/** A parsed statement of the stand-in's small language. */
sealed interface Statement {
  /** The separator of words. */
  Pattern SPACES = Pattern.compile("\\s+");

  /** A statement that changes one key of a ledger. */
  sealed interface Write extends Statement {

    /** Returns the name of the ledger. */
    String ledger();

    /** Returns the key within the ledger. */
    String key();
  }

  /** Replaces the rows under a key by one. */
  record Put(String ledger, String key, String value) implements Write {}

  /** Adds a row under a key. */
  record Append(String ledger, String key, String value) implements Write {}

  /** Removes the rows under a key. */
  record Delete(String ledger, String key) implements Write {}

  /** Reads the rows under a key. */
  record Get(String ledger, String key) implements Statement {}

  /** Reads the rows of a ledger, at most {@code limit}. */
  record Scan(String ledger, int limit) implements Statement {}

  /** Occupies a slot for a time. */
  record Sleep(long durationMs) implements Statement {}

  /**
   * Returns the statement that a text stands for.
   *
   * @param text the text
   * @return the statement, or {@code BAD_STATEMENT}
   */
  static Result<Statement> parse(String text) {
    String[] words = SPACES.split(text.strip(), 4);
    String shape = words[0].toLowerCase(Locale.ROOT) + "/" + words.length;
    return switch (shape) {
      case "put/4" -> Result.success(new Put(words[1], words[2], words[3]));
      case "append/4" -> Result.success(new Append(words[1], words[2], words[3]));
      case "delete/3" -> Result.success(new Delete(words[1], words[2]));
      case "get/3" -> Result.success(new Get(words[1], words[2]));
      case "scan/2" -> Result.success(new Scan(words[1], Integer.MAX_VALUE));
      case "scan/4" -> words[2].equals("limit") ? scan(words[1], words[3], text) : bad(text);
      case "sleep/2" ->
          words[1].matches("\\d{1,9}")
              ? Result.success(new Sleep(Long.parseLong(words[1])))
              : bad(text);
      default -> bad(text);
    };
  }

  private static Result<Statement> scan(String ledger, String limit, String text) {
    return limit.matches("\\d{1,9}")
        ? Result.success(new Scan(ledger, Integer.parseInt(limit)))
        : bad(text);
  }

  private static Result<Statement> bad(String text) {
    return Result.failure(ResultCode.BAD_STATEMENT, "not a statement: " + text);
  }
}
