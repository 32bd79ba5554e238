package io.lycheejunction.core.session;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Encodes session tokens as signed text, and decodes and verifies them. */
public final class TokenCodec {
  /** The smallest length of the signing key, in bytes. */
  public static final int MIN_KEY_BYTES = 16;

  /** The largest length of an encoded token, in characters. */
  public static final int MAX_TOKEN_CHARS = 32_768;

  private static final byte VERSION = 1;
  private static final int SIGNATURE_BYTES = 16;

  private final HashFunction hmac;

  private TokenCodec(HashFunction hmac) {
    this.hmac = hmac;
  }

  /**
   * Returns a codec with the given signing key.
   *
   * @param key the signing key, the same on all proxies
   * @return the codec, or {@code BAD_SETTING} if the key is too short
   */
  public static Result<TokenCodec> of(byte[] key) {
    Objects.requireNonNull(key, "key is null");
    return key.length < MIN_KEY_BYTES
        ? Result.failure(ResultCode.BAD_SETTING, "the session key must have at least 16 bytes")
        : Result.success(new TokenCodec(Hashing.hmacSha256(key)));
  }

  /**
   * Returns the signed text of a token.
   *
   * @param token the token
   * @return the text, as base64url without padding
   */
  public String encode(SessionToken token) {
    ByteArrayDataOutput out = ByteStreams.newDataOutput();
    out.writeByte(VERSION);
    out.writeBoolean(token.complete());
    out.writeByte(token.positions().size());
    new TreeMap<>(token.positions())
        .forEach(
            (group, position) -> {
              out.writeUTF(group);
              out.writeLong(position.term());
              out.writeLong(position.offset());
            });
    byte[] content = out.toByteArray();
    byte[] signed = Arrays.copyOf(content, content.length + SIGNATURE_BYTES);
    System.arraycopy(sign(content), 0, signed, content.length, SIGNATURE_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
  }

  /**
   * Returns the token that a signed text contains.
   *
   * @param text the text, from an untrusted source
   * @return the token, or {@code BAD_TOKEN} if the text is malformed or its signature is wrong
   */
  public Result<SessionToken> decode(String text) {
    Objects.requireNonNull(text, "text is null");
    if (text.length() > MAX_TOKEN_CHARS) {
      return badToken("the token is too long");
    }
    byte[] signed;
    try {
      signed = Base64.getUrlDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      return badToken("the token is not base64url");
    }
    if (signed.length < SIGNATURE_BYTES) {
      return badToken("the token is truncated");
    }
    int contentBytes = signed.length - SIGNATURE_BYTES;
    byte[] content = Arrays.copyOf(signed, contentBytes);
    byte[] receivedSignature = Arrays.copyOfRange(signed, contentBytes, signed.length);
    return MessageDigest.isEqual(sign(content), receivedSignature)
        ? decodeContent(content)
        : badToken("the token's signature is wrong");
  }

  private byte[] sign(byte[] content) {
    return Arrays.copyOf(hmac.hashBytes(content).asBytes(), SIGNATURE_BYTES);
  }

  private static Result<SessionToken> decodeContent(byte[] content) {
    try {
      ByteArrayDataInput in = ByteStreams.newDataInput(content);
      if (in.readByte() != VERSION) {
        return badToken("the token's version is not supported");
      }
      final boolean complete = in.readBoolean();
      int groups = in.readUnsignedByte();
      Map<String, LogPosition> positions = new TreeMap<>();
      for (int i = 0; i < groups; i++) {
        positions.put(in.readUTF(), new LogPosition(in.readLong(), in.readLong()));
      }
      return Result.success(new SessionToken(positions, complete));
    } catch (IllegalStateException | IllegalArgumentException e) {
      return badToken("the token's content is malformed");
    }
  }

  private static <T> Result<T> badToken(String detail) {
    return Result.failure(ResultCode.BAD_TOKEN, detail);
  }
}
