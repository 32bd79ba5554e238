package io.lycheejunction.core.session;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenCodecTest {
  private static final TokenCodec CODEC = codec("0123456789abcdef");
  private static final TokenCodec CODEC_WITH_OTHER_KEY = codec("fedcba9876543210");

  private static TokenCodec codec(String key) {
    return TokenCodec.of(key.getBytes(StandardCharsets.UTF_8))
        .fold(
            fault -> {
              throw new IllegalArgumentException(fault.detail());
            },
            codec -> codec);
  }

  private static ResultCode code(Result<?> result) {
    return result.<ResultCode>fold(Fault::code, value -> ResultCode.DONE);
  }

  @Provide
  Arbitrary<SessionToken> tokens() {
    Arbitrary<LogPosition> positions =
        Combinators.combine(
                Arbitraries.longs().between(0, Long.MAX_VALUE),
                Arbitraries.longs().between(0, Long.MAX_VALUE))
            .as(LogPosition::new);
    Arbitrary<String> names = Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(20);
    Arbitrary<Map<String, LogPosition>> maps =
        Arbitraries.maps(names, positions).ofMaxSize(SessionToken.MAX_GROUPS);
    return Combinators.combine(maps, Arbitraries.of(true, false)).as(SessionToken::new);
  }

  @Property(seed = "31", tries = 200)
  void shouldReturnSameTokenWhenDecodingEncodedText(@ForAll("tokens") SessionToken token) {
    assertEquals(Result.success(token), CODEC.decode(CODEC.encode(token)));
  }

  @Property(seed = "32", tries = 300)
  void shouldRefuseWhenAnyBitIsChanged(
      @ForAll("tokens") SessionToken token,
      @ForAll @IntRange(min = 0, max = 100_000) int bitIndex) {
    byte[] bytes = Base64.getUrlDecoder().decode(CODEC.encode(token));
    bytes[bitIndex / 8 % bytes.length] ^= (byte) (1 << bitIndex % 8);
    String forged = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    assertEquals(ResultCode.BAD_TOKEN, code(CODEC.decode(forged)));
  }

  @Property(seed = "33", tries = 300)
  void shouldRefuseWhenTruncated(
      @ForAll("tokens") SessionToken token,
      @ForAll @IntRange(min = 1, max = 5_000) int removedChars) {
    String text = CODEC.encode(token);
    String truncated = text.substring(0, Math.max(0, text.length() - removedChars));
    assertEquals(ResultCode.BAD_TOKEN, code(CODEC.decode(truncated)));
  }

  @Property(seed = "34", tries = 500)
  void shouldRefuseWhenTextIsArbitrary(@ForAll String text) {
    assertEquals(ResultCode.BAD_TOKEN, code(CODEC.decode(text)));
  }

  @Nested
  class Decode {
    @Test
    void shouldRefuseWhenSignedByAnotherKey() {
      String foreign = CODEC_WITH_OTHER_KEY.encode(SessionToken.newSession());
      assertEquals(ResultCode.BAD_TOKEN, code(CODEC.decode(foreign)));
    }

    @Test
    void shouldRefuseWhenTooLong() {
      String text = "A".repeat(TokenCodec.MAX_TOKEN_CHARS + 1);
      assertEquals(ResultCode.BAD_TOKEN, code(CODEC.decode(text)));
    }
  }

  @Nested
  class Of {
    @Test
    void shouldRefuseWhenKeyIsShort() {
      assertEquals(ResultCode.BAD_SETTING, code(TokenCodec.of(new byte[15])));
    }
  }
}
