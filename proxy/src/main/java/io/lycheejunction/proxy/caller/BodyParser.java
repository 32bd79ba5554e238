package io.lycheejunction.proxy.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.io.IOException;

/** Parses the JSON bodies of callers' requests; each kind of fault has its own result code. */
final class BodyParser {
  private static final JsonMapper MAPPER =
      Json.STRICT
          .rebuild()
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .withCoercionConfig(
              LogicalType.Textual,
              config ->
                  config
                      .setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                      .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                      .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail))
          .build();

  private final int maxBodyBytes;

  /**
   * Creates a parser.
   *
   * @param maxBodyBytes the maximum size of a body, in bytes
   */
  BodyParser(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Returns the message that a body contains.
   *
   * @param body the bytes of the body
   * @param type the class of the message
   * @param <T> the type of the message
   * @return the message, or {@code BODY_TOO_LARGE}, {@code BAD_JSON}, {@code UNKNOWN_FIELD} or
   *     {@code BAD_VALUE}
   */
  <T> Result<T> parse(byte[] body, Class<T> type) {
    if (body.length > maxBodyBytes) {
      return Result.failure(
          ResultCode.BODY_TOO_LARGE, "the body is larger than " + maxBodyBytes + " bytes");
    }
    try {
      JsonNode tree = MAPPER.readTree(body);
      if (tree == null || tree.isMissingNode()) {
        return Result.failure(ResultCode.BAD_JSON, "the body is empty");
      }
      return tree.isObject()
          ? bind(tree, type)
          : Result.failure(ResultCode.BAD_VALUE, "the body is not a JSON object");
    } catch (JsonProcessingException e) {
      return Result.failure(ResultCode.BAD_JSON, e.getOriginalMessage());
    } catch (IOException e) {
      return Result.failure(ResultCode.BAD_JSON, "the body is not valid UTF-8");
    }
  }

  private static <T> Result<T> bind(JsonNode tree, Class<T> type) {
    try {
      return Result.success(MAPPER.treeToValue(tree, type));
    } catch (UnrecognizedPropertyException e) {
      return Result.failure(ResultCode.UNKNOWN_FIELD, "unknown field: " + e.getPropertyName());
    } catch (JsonProcessingException e) {
      return Result.failure(ResultCode.BAD_VALUE, e.getOriginalMessage());
    }
  }
}
