package io.lycheejunction.proxy;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import java.util.List;
import java.util.Objects;

/**
 * The settings of one proxy.
 *
 * @param vm the name of the entry VM that the proxy runs on
 * @param failureDomain the failure domain of the VM
 * @param listen the address that the proxy listens on, as {@code ip:port}
 * @param platform the address of the platform's services, as {@code ip:port}
 */
public record ProxySettings(String vm, String failureDomain, String listen, String platform) {
  /** The flag of the VM's name. */
  public static final String VM = "vm";

  private static final String FAILURE_DOMAIN = "failure-domain";
  private static final String LISTEN = "listen";
  private static final String PLATFORM = "platform";

  /** The settings that the program knows. */
  public static final List<Setting> ALL =
      List.of(
          Setting.text(VM, "name of this entry VM"),
          Setting.text(FAILURE_DOMAIN, "failure domain of this entry VM"),
          Setting.address(LISTEN, "ip:port to listen on, which other proxies reach"),
          Setting.address(PLATFORM, "ip:port of the platform's services"));

  /** Rejects null components. */
  public ProxySettings {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(listen, "listen is null");
    Objects.requireNonNull(platform, "platform is null");
  }

  /**
   * Returns the settings of the proxy from those that were read.
   *
   * @param settings the checked settings
   * @return the proxy's settings
   */
  public static ProxySettings of(Settings settings) {
    return new ProxySettings(
        settings.text(VM),
        settings.text(FAILURE_DOMAIN),
        settings.text(LISTEN),
        settings.text(PLATFORM));
  }

  /**
   * Returns the IP address that the proxy listens on.
   *
   * @return the address without its port
   */
  public String ip() {
    return listen.substring(0, listen.lastIndexOf(':'));
  }

  /**
   * Returns the port that the proxy listens on.
   *
   * @return the port
   */
  public int port() {
    return Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
  }
}
