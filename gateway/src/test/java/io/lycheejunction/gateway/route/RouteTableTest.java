package io.lycheejunction.gateway.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class RouteTableTest {

  private static RouteTable table(long version, long revision, String database) {
    Route route = new Route(database, "ledger", new ReadRule.Latest(), 1_000, 200, 1);
    return new RouteTable(version, revision, Map.of(database, route), Map.of(), 0);
  }

  @Test
  void shouldReplaceWhenTheVersionIsHigher() {
    assertTrue(table(2, 5, "orders").replaces(table(1, 9, "orders")));
  }

  /** A store that was restored from a copy holds an older configuration for a while. */
  @Test
  void shouldNotReplaceWhenTheVersionIsLowerAndTheRevisionHigher() {
    assertFalse(table(1, 9, "orders").replaces(table(2, 5, "orders")));
  }

  /**
   * A restore lost a version, which was then written with other content: VMs that had read the lost
   * one kept it, and others used the new one.
   */
  @Test
  void shouldReplaceWhenTheSameVersionWasWrittenAgainWithOtherContent() {
    assertTrue(table(2, 9, "added").replaces(table(2, 5, "orders")));
    assertFalse(table(2, 5, "orders").replaces(table(2, 9, "added")));
  }

  @Test
  void shouldFindTheLongestStatementTimeoutWhenRoutesDiffer() {
    Route shorter = new Route("orders", "ledger", new ReadRule.Latest(), 1_000, 200, 1);
    Route longer = new Route("board", "ledger", new ReadRule.Latest(), 3_000, 200, 1);
    RouteTable routes =
        new RouteTable(1, 1, Map.of("orders", shorter, "board", longer), Map.of(), 0);

    assertEquals(3_000, routes.longestStatementTimeoutMs());
    assertEquals(0, RouteTable.empty().longestStatementTimeoutMs());
  }

  @Test
  void shouldNotReplaceWhenTheSameVersionWasWrittenAgainUnchanged() {
    assertFalse(table(2, 9, "orders").replaces(table(2, 5, "orders")));
  }
}
