package io.lycheejunction.core.access;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;

/** One key, kept as its digest, with what it allows. */
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
   * @param scope what the key allows
   * @param key the key
   * @return the grant
   */
  public static Grant of(Scope scope, String key) {
    return new Grant(scope, digest(key));
  }

  /**
   * Returns what the key allows.
   *
   * @return the scope
   */
  public Scope scope() {
    return scope;
  }

  /**
   * Returns whether both grants are of the same key, in a time that does not depend on the keys.
   *
   * @param other the other grant
   * @return true if the keys are equal
   */
  public boolean hasKeyOf(Grant other) {
    return matches(other.digest);
  }

  /**
   * Returns whether a digest is that of the key, in a time that does not depend on the digests.
   *
   * @param presented the digest of the presented key
   * @return true if it is
   */
  boolean matches(byte[] presented) {
    return MessageDigest.isEqual(digest, presented);
  }

  /**
   * Returns the digest of a key.
   *
   * @param key the key
   * @return the SHA-256 digest
   */
  static byte[] digest(String key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
