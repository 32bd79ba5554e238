package io.lycheejunction.core.key;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdempotencyKeyTest {
  private static final String TEXT = "018bcfe5-6800-7000-8000-000000000001";
  private static final long CREATED_WALL_MS = 0x018bcfe56800L;
  private static final KeyRetention RETENTION = new KeyRetention(1_000, 100);
  private static final IdempotencyKey KEY = new IdempotencyKey(TEXT, CREATED_WALL_MS);

  private static ResultCode code(Result<?> result) {
    return result.<ResultCode>fold(Fault::code, value -> ResultCode.DONE);
  }

  @Property(seed = "41", tries = 500)
  void shouldRefuseWhenTextIsArbitrary(@ForAll String text) {
    assertEquals(ResultCode.BAD_KEY, code(IdempotencyKey.parse(text)));
  }

  @Nested
  class Parse {
    @Test
    void shouldReturnCreationTimeWhenTextIsUpperCase() {
      assertEquals(Result.success(KEY), IdempotencyKey.parse(TEXT.toUpperCase()));
    }

    @Test
    void shouldRefuseWhenVersionIsNot7() {
      String version4 = "018bcfe5-6800-4000-8000-000000000001";
      assertEquals(ResultCode.BAD_KEY, code(IdempotencyKey.parse(version4)));
    }
  }

  @Nested
  class CheckAge {
    @Test
    void shouldAcceptWhenAgeEqualsRetention() {
      assertEquals(ResultCode.DONE, code(KEY.checkAge(CREATED_WALL_MS + 1_000, RETENTION)));
    }

    @Test
    void shouldRefuseWhenOlderThanRetention() {
      assertEquals(ResultCode.KEY_EXPIRED, code(KEY.checkAge(CREATED_WALL_MS + 1_001, RETENTION)));
    }

    @Test
    void shouldRefuseWhenCreatedTooFarInFuture() {
      assertEquals(ResultCode.BAD_KEY, code(KEY.checkAge(CREATED_WALL_MS - 101, RETENTION)));
    }
  }
}
