package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import java.util.Optional;

/** Decides whether a caller may use a database under a configuration. */
final class SessionAdmission {
  private SessionAdmission() {}

  /**
   * Returns the decision.
   *
   * @param routes the configuration
   * @param database the database that the caller connects to
   * @param credential the key that the caller presented
   * @return the route and the caller's organisation, or why it is refused; the reason has no key
   */
  static Admission of(RouteTable routes, String database, Credential credential) {
    Optional<Route> route = routes.routeOf(database);
    if (route.isEmpty()) {
      return refused(ResultCode.UNKNOWN_SERVICE, "no database " + database);
    }
    if (!route.get().keyRequired()) {
      return new Admission.Admitted(route.get(), Optional.empty());
    }
    if (credential.isEmpty()) {
      return refused(ResultCode.NO_CREDENTIAL, "database " + database + " requires a key");
    }
    if (credential.isTooLong()) {
      return refused(
          ResultCode.WRONG_CREDENTIAL, "a key has at most " + Credential.MAX_KEY_BYTES + " bytes");
    }
    Optional<Organisation> organisation = routes.organisations().ofKey(credential.key());
    if (organisation.isEmpty()) {
      return refused(ResultCode.WRONG_CREDENTIAL, "the key is unknown or was withdrawn");
    }
    return new Admission.Admitted(route.get(), organisation.map(Organisation::name));
  }

  private static Admission refused(ResultCode code, String detail) {
    return new Admission.Refused(Fault.of(code, detail));
  }
}
