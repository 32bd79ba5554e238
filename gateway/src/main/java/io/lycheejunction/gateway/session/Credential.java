package io.lycheejunction.gateway.session;

import java.util.Objects;

/**
 * The key that a caller presented, which identifies its organisation.
 *
 * @param key the key, or an empty text if the caller presented none
 */
public record Credential(String key) {
  /** The longest key that is looked up, in bytes. */
  static final int MAX_KEY_BYTES = 200;

  private static final Credential NONE = new Credential("");

  /** Rejects null components. */
  public Credential {
    Objects.requireNonNull(key, "key is null");
  }

  /**
   * Returns the credential of a caller that presented no key.
   *
   * @return the empty credential
   */
  public static Credential none() {
    return NONE;
  }

  boolean isEmpty() {
    return key.isEmpty();
  }

  boolean isTooLong() {
    return key.length() > MAX_KEY_BYTES;
  }

  /** The key is a secret, so it is left out. */
  @Override
  public String toString() {
    return isEmpty() ? "Credential[none]" : "Credential[key]";
  }
}
