package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.configuration.Configuration;
import java.util.List;
import java.util.Objects;

/**
 * The configuration at one version, with the identifiers of the latest changes.
 *
 * @param schema the version of the snapshot's JSON format
 * @param configuration the configuration
 * @param latest the identifiers and versions of the latest changes, oldest first
 */
public record Snapshot(int schema, Configuration configuration, List<ChangeId> latest) {
  /** The version of the JSON format that this program writes and reads. */
  public static final int SCHEMA = 1;

  /** Rejects null components and copies the list. */
  public Snapshot {
    Objects.requireNonNull(configuration, "configuration is null");
    latest = List.copyOf(latest);
  }
}
