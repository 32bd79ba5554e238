package io.lycheejunction.common.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;

/** JSON serialization with the same configuration in every program. */
public final class Json {
  /** Ignores unknown fields, so that programs of different versions can exchange messages. */
  public static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  /** For input from callers and operators: rejects unknown fields and trailing tokens. */
  public static final JsonMapper STRICT =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /**
   * Returns the JSON text of a value.
   *
   * @param value a record, collection or map
   * @return the text, on one line
   * @throws IllegalArgumentException if the value cannot be written as JSON
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be written as JSON", e);
    }
  }

  /**
   * Returns the value parsed from a JSON text.
   *
   * @param text the JSON text
   * @param type the class to deserialize into
   * @param <T> the type of the value
   * @return the value, or {@code BAD_JSON} if the text is malformed or {@code null}
   */
  public static <T> Result<T> read(String text, Class<T> type) {
    try {
      T value = MAPPER.readValue(text, type);
      return value == null
          ? Result.failure(ResultCode.BAD_JSON, "the body is null")
          : Result.success(value);
    } catch (JsonProcessingException e) {
      return Result.failure(ResultCode.BAD_JSON, e.getOriginalMessage());
    }
  }
}
