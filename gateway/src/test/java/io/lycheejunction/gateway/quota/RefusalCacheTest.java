package io.lycheejunction.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against statements that are forwarded only to be refused, and against operations that are
 * refused although their holder has room.
 */
class RefusalCacheTest {
  private final RefusalCache cache = new RefusalCache();

  @Test
  void shouldRefuseOnlyTheOrganisationUntilTheTimeThatTheHolderHasStated() {
    cache.recordRefusal("acme", 30, 1_000);

    assertEquals(10, cache.refusedForMs("acme", 1_020));
    assertEquals(0, cache.refusedForMs("other", 1_020));
    assertEquals(0, cache.refusedForMs("acme", 1_030));
  }

  /** A holder of another service, or the same one a moment later, may have tokens. */
  @Test
  void shouldAskAgainSoonWhenTheStatedTimeIsLong() {
    cache.recordRefusal("acme", 900, 1_000);

    assertEquals(900 - RefusalCache.MAX_MS + 1, cache.refusedForMs("acme", 1_049));
    assertEquals(0, cache.refusedForMs("acme", 1_000 + RefusalCache.MAX_MS));
  }

  @Test
  void shouldBoundTheTimeWhenTheHolderStatesOneThatIsVeryLong() {
    cache.recordRefusal("acme", Long.MAX_VALUE, 1_000);

    assertEquals(OrganisationQuota.MAX_RETRY_MS, cache.refusedForMs("acme", 1_000));
  }
}
