package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.ServiceSpec;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * A service and the group that stores its data.
 *
 * @param service the service
 * @param group the group
 */
record Route(ServiceSpec service, GroupSpec group) {

  Route {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(group, "group is null");
  }

  /**
   * Returns the route of the named service.
   *
   * @param configuration the configuration in force
   * @param name the name of the service
   * @return the route, or {@code UNKNOWN_SERVICE}
   */
  static Result<Route> of(Configuration configuration, String name) {
    Optional<Route> route =
        configuration
            .service(name)
            .flatMap(
                service -> configuration.groupOf(service).map(group -> new Route(service, group)));
    return route
        .map(Result::success)
        .orElseGet(
            () ->
                Result.failure(
                    ResultCode.UNKNOWN_SERVICE, "the configuration does not contain the service"));
  }

  /**
   * Returns the name of the group.
   *
   * @return the name
   */
  String groupName() {
    return group.name();
  }
}
