package io.lycheejunction.bench;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import java.util.Arrays;
import java.util.List;

/** Command-line settings of the benches. */
public final class BenchSettings {
  /** Flag of the example organisation whose database sizes are used. */
  public static final String USER = "user";

  /** Flag of the proxies' addresses, separated by commas. */
  public static final String PROXIES = "proxies";

  /** Flag of the entry VMs to register with the platform, separated by commas. */
  public static final String VMS = "vms";

  /** Flag of the address of the platform stand-in. */
  public static final String PLATFORM = "platform";

  /** Flag of the simulated one-way network delay between caller and proxy. */
  public static final String DELAY_MS = "delay-ms";

  /** Flag of the duration of the run. */
  public static final String SECONDS = "seconds";

  /** Flag of the number of simulated callers per service. */
  public static final String CLERKS = "clerks";

  /** Flag of the seed of all random choices. */
  public static final String SEED = "seed";

  /** Flag of the file that is created once the load has started. */
  public static final String READY_FILE = "ready-file";

  /** Flag of the number of rounds of each variant. */
  public static final String ROUNDS = "rounds";

  static final List<Setting> ALL =
      List.of(
          Setting.text(
              USER, "okonkwo", "organisation whose database sizes to use: okonkwo or hokuyo"),
          Setting.text(PROXIES, "", "the proxies' ip:port, separated by commas"),
          Setting.text(
              VMS, "", "the entry VMs to register, NAME=DOMAIN=IP:PORT, separated by commas"),
          Setting.text(PLATFORM, "127.0.0.1:7000", "ip:port of the platform stand-in"),
          Setting.number(DELAY_MS, 0, 1_000, 3, "one-way delay between caller and proxy"),
          Setting.number(SECONDS, 1, 3_600, 20, "duration of the run"),
          Setting.number(CLERKS, 1, 10_000, 8, "callers per service"),
          Setting.number(SEED, 0, Long.MAX_VALUE, 1, "seed of all random choices"),
          Setting.number(ROUNDS, 1, 1_000, 5, "rounds of each variant"),
          Setting.text(READY_FILE, "", "file that is created once the load has started"));

  private BenchSettings() {}

  /**
   * Returns the values of a setting that is a comma-separated list.
   *
   * @param settings the validated settings
   * @param flag the name of the setting
   * @return the values; empty elements are left out
   */
  public static List<String> list(Settings settings, String flag) {
    return Arrays.stream(settings.text(flag).split(",")).filter(v -> !v.isEmpty()).toList();
  }
}
