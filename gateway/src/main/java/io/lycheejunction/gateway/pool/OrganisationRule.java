package io.lycheejunction.gateway.pool;

import java.util.Optional;

/**
 * Decides which connections may serve a request.
 *
 * @param perOrganisation true if each connection carries the statements of one organisation, false
 *     if connections serve all organisations
 */
record OrganisationRule(boolean perOrganisation) {

  /** Returns the organisation that a connection must belong to, or empty if any will do. */
  Optional<String> requiredBy(LinkRequest request) {
    boolean any = !perOrganisation || request.priority() == LinkRequest.INTERNAL_PRIORITY;
    return any ? Optional.empty() : request.organisation();
  }

  /** Returns whether a connection may serve a request. */
  boolean fits(PooledLink link, LinkRequest request) {
    Optional<String> required = requiredBy(request);
    return required.isEmpty() || required.equals(link.organisation());
  }
}
