package io.lycheejunction.gateway.organisation;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The organisations of one configuration, with the keys of their callers.
 *
 * <p>Keys are secrets: they appear in no log line, error message or {@code toString}.
 */
public final class Organisations {
  private static final Organisations EMPTY = new Organisations(Map.of(), Map.of());

  private final Map<String, Organisation> byName;
  private final Map<String, Organisation> byKey;

  private Organisations(Map<String, Organisation> byName, Map<String, Organisation> byKey) {
    this.byName = Map.copyOf(byName);
    this.byKey = Map.copyOf(byKey);
  }

  /**
   * Returns the registry of a deployment without organisations, whose callers need no key.
   *
   * @return the empty registry
   */
  public static Organisations empty() {
    return EMPTY;
  }

  /**
   * Creates a registry.
   *
   * @param keys the keys of each organisation
   * @return the registry
   * @throws IllegalArgumentException if two organisations have the same name or key; the message
   *     names them, but no key
   */
  public static Organisations of(Map<Organisation, ? extends Collection<String>> keys) {
    Map<String, Organisation> byName = new HashMap<>();
    Map<String, Organisation> byKey = new HashMap<>();
    keys.forEach(
        (organisation, ownKeys) -> {
          if (byName.put(organisation.name(), organisation) != null) {
            throw new IllegalArgumentException(
                "name of an organisation must be unique but is repeated: " + organisation.name());
          }
          ownKeys.forEach(key -> addKey(byKey, organisation, key));
        });
    return byName.isEmpty() ? EMPTY : new Organisations(byName, byKey);
  }

  private static void addKey(
      Map<String, Organisation> byKey, Organisation organisation, String key) {
    Organisation other = byKey.put(key, organisation);
    if (other != null && !other.equals(organisation)) {
      throw new IllegalArgumentException(
          "a key must belong to one organisation but belongs to "
              + other.name()
              + " and "
              + organisation.name());
    }
  }

  /**
   * Returns whether the deployment has no organisations.
   *
   * @return true if callers need no key
   */
  public boolean isEmpty() {
    return byName.isEmpty();
  }

  /**
   * Returns the organisation that a key belongs to.
   *
   * @param key the key that a caller presented
   * @return the organisation, or empty if no organisation has the key
   */
  public Optional<Organisation> ofKey(String key) {
    return Optional.ofNullable(byKey.get(Objects.requireNonNull(key, "key is null")));
  }

  /**
   * Returns an organisation.
   *
   * @param name its name
   * @return the organisation, or empty if there is none of that name
   */
  public Optional<Organisation> find(String name) {
    return Optional.ofNullable(byName.get(Objects.requireNonNull(name, "name is null")));
  }

  /**
   * Returns the names of all organisations.
   *
   * @return the names
   */
  public Set<String> names() {
    return byName.keySet();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Organisations organisations
        && byName.equals(organisations.byName)
        && byKey.equals(organisations.byKey);
  }

  @Override
  public int hashCode() {
    return Objects.hash(byName, byKey);
  }

  @Override
  public String toString() {
    return "Organisations" + byName.keySet();
  }
}
