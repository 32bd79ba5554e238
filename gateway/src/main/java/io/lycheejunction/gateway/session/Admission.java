package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;

/** Whether a session may run a single statement or a new transaction now. */
sealed interface Admission {

  /**
   * It may.
   *
   * @param route the route of its database
   * @param organisation the organisation of its caller, or empty if the route needs no key
   */
  record Admitted(Route route, Optional<String> organisation) implements Admission {
    /** Rejects null components. */
    public Admitted {
      Objects.requireNonNull(route, "route is null");
      Objects.requireNonNull(organisation, "organisation is null");
    }
  }

  /**
   * It may not.
   *
   * @param fault the reason
   */
  record Refused(Fault fault) implements Admission {
    /** Rejects null components. */
    public Refused {
      Objects.requireNonNull(fault, "fault is null");
    }
  }
}
