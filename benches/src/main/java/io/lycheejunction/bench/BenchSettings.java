package io.lycheejunction.bench;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import java.util.Arrays;
import java.util.List;

/** The settings that the benches share. */
public final class BenchSettings {
  /** The flag of the user whose sizes are used. */
  public static final String USER = "user";

  /** The flag of the proxies' addresses. */
  public static final String PROXIES = "proxies";

  /** The flag of the entry VMs to register. */
  public static final String VMS = "vms";

  /** The flag of the stand-in's address. */
  public static final String PLATFORM = "platform";

  /** The flag of the time of one way between caller and proxy. */
  public static final String DELAY_MS = "delay-ms";

  /** The flag of the length of the run. */
  public static final String SECONDS = "seconds";

  /** The flag of the number of callers for each service. */
  public static final String CLERKS = "clerks";

  /** The flag of the seed of all random choices. */
  public static final String SEED = "seed";

  /** The flag of the file that is written once the load has started. */
  public static final String READY_FILE = "ready-file";

  /** The flag of the number of rounds. */
  public static final String ROUNDS = "rounds";

  /** The settings that the program knows. */
  static final List<Setting> ALL =
      List.of(
          Setting.text(USER, "okonkwo", "whose sizes to use: okonkwo or hokuyo"),
          Setting.text(PROXIES, "", "the proxies' ip:port, with commas"),
          Setting.text(VMS, "", "the entry VMs to register, NAME=DOMAIN=IP:PORT with commas"),
          Setting.text(PLATFORM, "127.0.0.1:7000", "ip:port of the stand-in"),
          Setting.number(DELAY_MS, 0, 1_000, 3, "one way between caller and proxy"),
          Setting.number(SECONDS, 1, 3_600, 20, "length of the run"),
          Setting.number(CLERKS, 1, 10_000, 8, "callers for each service"),
          Setting.number(SEED, 0, Long.MAX_VALUE, 1, "seed of all random choices"),
          Setting.number(ROUNDS, 1, 1_000, 5, "rounds of each variant"),
          Setting.text(READY_FILE, "", "file that is written once the load has started"));

  private BenchSettings() {}

  /**
   * Returns the values of a setting that holds several, with commas between.
   *
   * @param settings the checked settings
   * @param flag the setting's flag
   * @return the values, without empty ones
   */
  public static List<String> list(Settings settings, String flag) {
    return Arrays.stream(settings.text(flag).split(",")).filter(v -> !v.isEmpty()).toList();
  }
}
