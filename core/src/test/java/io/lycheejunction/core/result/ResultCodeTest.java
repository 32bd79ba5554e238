package io.lycheejunction.core.result;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
  private static final Path TABLE =
      Path.of(System.getProperty("basedir", "."), "..", "docs", "RESULT-CODES.md");
  private static final Pattern ROW =
      Pattern.compile(
          "^\\| (\\d{4}) \\| `([A-Z_]+)` \\| ([a-z-]+) \\| (\\d{3}) \\| \\S.* \\| \\S.* \\|$",
          Pattern.MULTILINE);

  @Nested
  class Table {
    @Test
    void shouldListEachCodeOnceInOrderWhenDocumented() throws IOException {
      List<String> documented = new ArrayList<>();
      Matcher row = ROW.matcher(Files.readString(TABLE));
      while (row.find()) {
        documented.add(String.join(" ", row.group(1), row.group(2), row.group(3), row.group(4)));
      }
      List<String> defined = new ArrayList<>();
      for (ResultCode code : ResultCode.values()) {
        String outcome = code.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-');
        defined.add(code.number() + " " + code + " " + outcome + " " + code.httpStatus());
      }
      assertEquals(defined, documented);
    }
  }

  @Nested
  class Number {
    @Test
    void shouldBeUniqueWhenAllCodesAreCompared() {
      Set<Integer> seen = new HashSet<>();
      for (ResultCode code : ResultCode.values()) {
        assertTrue(seen.add(code.number()), code.name());
      }
    }
  }
}
