package io.lycheejunction.gateway.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Load: reads stay in their failure domain, so that equal shares of a replica are half unused. */
class ConnectionDivisionTest {
  private static final int MAX_CONNECTIONS = 70;
  private static final String OWN = "domain-i-1";
  private static final Map<String, Integer> HOLDERS = Map.of(OWN, 2, "b", 2, "c", 2);

  private static final Target REPLICA = TestTargets.target("i-1", false, 1);

  private static int share(String ownDomain, boolean primary) {
    return new ConnectionDivision.ByDomain(ownDomain, HOLDERS)
        .shareOf(REPLICA, primary, MAX_CONNECTIONS)
        .max();
  }

  @Test
  void shouldGiveMostConnectionsToTheDomainOfReplica() {
    assertEquals(30, share(OWN, false));
    assertEquals(2, share("b", false));
  }

  @Test
  void shouldNotExceedTheLimitOfTheTarget() {
    int all = 2 * share(OWN, false) + 2 * share("b", false) + 2 * share("c", false);

    assertTrue(all <= MAX_CONNECTIONS - ConnectionShare.RESERVED_CONNECTIONS);
  }

  @Test
  void shouldDivideThePrimaryEqually() {
    assertEquals(11, share(OWN, true));
    assertEquals(11, share("b", true));
  }

  /** Failure: the holders of a failure domain are lost, and others have to read its replica. */
  @Test
  void shouldDivideEquallyWhenNoHolderIsInTheDomainOfReplica() {
    ConnectionDivision division = new ConnectionDivision.ByDomain("b", Map.of("b", 2, "c", 2));

    assertEquals(17, division.shareOf(REPLICA, false, MAX_CONNECTIONS).max());
  }

  @Test
  void shouldDivideEquallyWhenTheLimitIsNotKnown() {
    ConnectionDivision division = new ConnectionDivision.ByDomain("b", HOLDERS);

    assertEquals(ConnectionShare.of(0, 6), division.shareOf(REPLICA, false, 0));
  }
}
