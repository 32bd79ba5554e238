package io.lycheejunction.core.access;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;

/** An access key, held only as its digest, with the scope that it grants. */
public final class Grant {
  private final Scope scope;
  private final byte[] digest;

  private Grant(Scope scope, byte[] digest) {
    this.scope = Objects.requireNonNull(scope, "scope is null");
    this.digest = digest;
  }

  /**
   * Returns the grant of a key.
   *
   * @param scope the requests that the key allows
   * @param key the key in plain text
   * @return the grant
   */
  public static Grant of(Scope scope, String key) {
    return new Grant(scope, digest(key));
  }

  /**
   * Returns the requests that the key allows.
   *
   * @return the scope
   */
  public Scope scope() {
    return scope;
  }

  /**
   * Returns whether both grants are for the same key, in constant time.
   *
   * @param other the other grant
   * @return true if the keys are equal
   */
  public boolean hasSameKeyAs(Grant other) {
    return matches(other.digest);
  }

  /**
   * Returns whether a digest is that of the key, in constant time.
   *
   * @param presented the digest of the presented key
   * @return true if the digests are equal
   */
  boolean matches(byte[] presented) {
    return MessageDigest.isEqual(digest, presented);
  }

  /**
   * Returns the digest of a key.
   *
   * @param key the key in plain text
   * @return the SHA-256 digest
   */
  static byte[] digest(String key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is required of every Java platform", e);
    }
  }
}
