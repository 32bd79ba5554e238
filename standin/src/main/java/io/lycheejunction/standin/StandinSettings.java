package io.lycheejunction.standin;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The settings of the simulated platform and groups.
 *
 * @param ip the IP address on which all ports listen
 * @param platformPort the platform's port; 0 for any free port
 * @param firstInstancePort the port of the first instance, followed by those of the others; 0 for
 *     any free ports
 * @param domains the names of the failure domains
 * @param domainDelayMs the one-way delay between failure domains, in milliseconds
 * @param groups the groups that are created at the start
 */
public record StandinSettings(
    String ip,
    int platformPort,
    int firstInstancePort,
    List<String> domains,
    long domainDelayMs,
    List<GroupSettings> groups) {
  private static final long MAX_DELAY_MS = 600_000;

  private static final Setting LISTEN =
      new Setting(
          "listen",
          new Setting.Kind.Address(),
          Optional.of("127.0.0.1:0"),
          false,
          "address of the platform as ip:port");

  /** The settings that can be given as command-line flags or environment variables. */
  static final List<Setting> ALL =
      List.of(
          LISTEN,
          Setting.number("groups", 0, 100, 3, "database groups at the start, named g1, g2, ..."),
          Setting.text("domains", "ikeja,lekki,apapa", "failure domains, separated by commas"),
          Setting.number("instances", 1, 9, 3, "instances of each group"),
          Setting.number("slots", 1, 10_000, 3, "statements that an instance runs concurrently"),
          Setting.number("connections", 1, 100_000, 20, "sessions that an instance allows"),
          Setting.number("connect-ms", 0, MAX_DELAY_MS, 10, "time to open a session"),
          Setting.number("execute-ms", 0, MAX_DELAY_MS, 1, "time to run a statement"),
          Setting.number("replica-lag-ms", 0, MAX_DELAY_MS, 5, "replication lag of each replica"),
          Setting.number(
              "domain-delay-ms", 0, MAX_DELAY_MS, 3, "one-way delay between failure domains"),
          Setting.number("first-instance-port", 0, 65_000, 0, "first instance's port; 0 for any"));

  /** Copies the lists. */
  public StandinSettings {
    domains = List.copyOf(domains);
    groups = List.copyOf(groups);
  }

  /**
   * Returns the settings converted from flags and environment variables.
   *
   * @param settings the validated values
   * @return the settings
   */
  static StandinSettings of(Settings settings) {
    String listen = settings.text("listen");
    int colon = listen.lastIndexOf(':');
    List<GroupSettings> groups = new ArrayList<>();
    for (int i = 1; i <= settings.number("groups"); i++) {
      groups.add(group("g" + i, settings));
    }
    return new StandinSettings(
        listen.substring(0, colon),
        Integer.parseInt(listen.substring(colon + 1)),
        (int) settings.number("first-instance-port"),
        List.of(settings.text("domains").split(",")),
        settings.number("domain-delay-ms"),
        groups);
  }

  private static GroupSettings group(String name, Settings settings) {
    return new GroupSettings(
        name,
        (int) settings.number("instances"),
        (int) settings.number("slots"),
        (int) settings.number("connections"),
        settings.number("connect-ms"),
        settings.number("execute-ms"),
        settings.number("replica-lag-ms"));
  }
}
