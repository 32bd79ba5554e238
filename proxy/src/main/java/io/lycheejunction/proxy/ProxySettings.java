package io.lycheejunction.proxy;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.access.AccessSettings;
import io.lycheejunction.proxy.caller.CallerLimits;
import io.lycheejunction.proxy.caller.CallerSettings;
import io.lycheejunction.proxy.group.GroupSettings;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The settings of one proxy.
 *
 * @param vm the name of the entry VM that the proxy runs on
 * @param failureDomain the failure domain of the VM
 * @param listen the address that the proxy listens on, as {@code ip:port}
 * @param platform the address of the platform's services, as {@code ip:port}
 * @param seeds addresses of other proxies, as {@code ip:port}, which are asked for the
 *     configuration if the platform is down at the start
 * @param shutdownNoticeMs the time that the load balancer needs to notice a shutdown, in
 *     milliseconds
 * @param groups the settings of group watching and failover
 * @param callers the limits on callers' requests
 * @param access the keys and certificates
 */
public record ProxySettings(
    String vm,
    String failureDomain,
    String listen,
    String platform,
    List<String> seeds,
    long shutdownNoticeMs,
    GroupSettings groups,
    CallerLimits callers,
    AccessSettings access) {
  /** The flag that sets the VM's name. */
  public static final String VM = "vm";

  private static final String FAILURE_DOMAIN = "failure-domain";
  private static final String LISTEN = "listen";
  private static final String PLATFORM = "platform";
  private static final String PEERS = "peers";
  private static final String NOTICE_MS = "shutdown-notice-ms";
  private static final long MAX_NOTICE_MS = 60_000;
  private static final long DEFAULT_NOTICE_MS = 1_000;

  /** All settings of the program. */
  public static final List<Setting> ALL =
      Stream.concat(
              Stream.of(
                  Setting.text(VM, "name of this entry VM"),
                  Setting.text(FAILURE_DOMAIN, "failure domain of this entry VM"),
                  Setting.address(LISTEN, "ip:port to listen on, which other proxies reach"),
                  Setting.address(PLATFORM, "ip:port of the platform's services"),
                  Setting.text(
                      PEERS, "", "ip:port of other proxies, with commas, if the platform is down"),
                  Setting.number(
                      NOTICE_MS,
                      0,
                      MAX_NOTICE_MS,
                      DEFAULT_NOTICE_MS,
                      "time for the balancer to notice a shutdown")),
              Stream.of(GroupSettings.ALL, CallerSettings.ALL, AccessSettings.ALL)
                  .flatMap(List::stream))
          .toList();

  /** Rejects null components. */
  public ProxySettings {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(listen, "listen is null");
    Objects.requireNonNull(platform, "platform is null");
    seeds = List.copyOf(seeds);
    Objects.requireNonNull(groups, "groups is null");
    Objects.requireNonNull(callers, "callers is null");
    Objects.requireNonNull(access, "access is null");
  }

  /**
   * Creates the settings of a proxy on a loopback address, without keys and certificates.
   *
   * @param vm the name of the entry VM that the proxy runs on
   * @param failureDomain the failure domain of the VM
   * @param listen the loopback address that the proxy listens on, as {@code ip:port}
   * @param platform the address of the platform's services, as {@code ip:port}
   * @param seeds addresses of other proxies, as {@code ip:port}, which are asked for the
   *     configuration if the platform is down at the start
   * @param shutdownNoticeMs the time that the load balancer needs to notice a shutdown, in
   *     milliseconds
   * @param groups the settings of group watching and failover
   * @param callers the limits on callers' requests
   */
  public ProxySettings(
      String vm,
      String failureDomain,
      String listen,
      String platform,
      List<String> seeds,
      long shutdownNoticeMs,
      GroupSettings groups,
      CallerLimits callers) {
    this(
        vm,
        failureDomain,
        listen,
        platform,
        seeds,
        shutdownNoticeMs,
        groups,
        callers,
        orThrow(AccessSettings.insecure(address(ipOf(listen)))));
  }

  /**
   * Returns the proxy's settings, taken from the parsed flags and environment variables.
   *
   * @param settings the parsed and checked settings
   * @return the proxy's settings
   * @throws IllegalArgumentException if a key or certificate is missing or cannot be used
   */
  public static ProxySettings of(Settings settings) {
    return new ProxySettings(
        settings.text(VM),
        settings.text(FAILURE_DOMAIN),
        settings.text(LISTEN),
        settings.text(PLATFORM),
        Arrays.stream(settings.text(PEERS).split(",")).filter(peer -> !peer.isEmpty()).toList(),
        settings.number(NOTICE_MS),
        GroupSettings.of(settings),
        CallerSettings.limits(settings),
        orThrow(access(settings)));
  }

  /**
   * Returns the keys and certificates that the settings name.
   *
   * @param settings the parsed and checked settings
   * @return the keys and certificates, or a fault whose detail has one line for each problem
   */
  public static Result<AccessSettings> access(Settings settings) {
    return AccessSettings.of(settings, address(ipOf(settings.text(LISTEN))));
  }

  private static AccessSettings orThrow(Result<AccessSettings> access) {
    return access.fold(
        fault -> {
          throw new IllegalArgumentException(fault.detail());
        },
        read -> read);
  }

  private static String ipOf(String listen) {
    return listen.substring(0, listen.lastIndexOf(':'));
  }

  private static InetAddress address(String ip) {
    try {
      return InetAddress.getByName(ip);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP address: " + ip, e);
    }
  }

  /**
   * Returns the IP address that the proxy listens on and sends from.
   *
   * @return the address
   */
  public InetAddress address() {
    return address(ip());
  }

  /**
   * Returns the IP address that the proxy listens on.
   *
   * @return the address without its port
   */
  public String ip() {
    return ipOf(listen);
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
