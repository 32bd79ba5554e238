package io.lycheejunction.gateway.pool;

import java.util.Optional;

/**
 * Decides which connections may serve a request.
 *
 * @param perOrganisation true if each connection carries the statements of one organisation, false
 *     if connections serve all organisations
 */
record OrganisationRule(boolean perOrganisation) {

  /** Returns the organisation for which a connection is opened for a request. */
  Optional<String> requiredBy(LinkRequest request) {
    return isServedByAny(request) ? Optional.empty() : request.organisation();
  }

  /**
   * Returns whether a connection may serve a request. A statement without an organisation does not
   * run on the connection of one, since the target would count it as theirs.
   */
  boolean fits(PooledLink link, LinkRequest request) {
    return isServedByAny(request) || link.organisation().equals(request.organisation());
  }

  private boolean isServedByAny(LinkRequest request) {
    return !perOrganisation || request.priority() == LinkRequest.INTERNAL_PRIORITY;
  }
}
