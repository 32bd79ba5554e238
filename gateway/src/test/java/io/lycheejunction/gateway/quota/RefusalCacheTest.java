package io.lycheejunction.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against statements that are forwarded only to be refused, and refusals that never end. */
class RefusalCacheTest {
  private final RefusalCache cache = new RefusalCache();

  @Test
  void shouldRefuseOnlyTheOrganisationUntilTheTimeThatTheHolderHasStated() {
    cache.recordRefusal("acme", 300, 1_000);

    assertEquals(200, cache.refusedForMs("acme", 1_100));
    assertEquals(0, cache.refusedForMs("other", 1_100));
    assertEquals(0, cache.refusedForMs("acme", 1_300));
  }

  @Test
  void shouldLetOnlyOneProbeThroughUntilItIsAnswered() {
    cache.recordRefusal("acme", 300, 1_000);

    assertEquals(0, cache.refusedForMs("acme", 1_300));
    assertTrue(cache.refusedForMs("acme", 1_301) > 0);
    cache.recordPassed("acme");
    assertEquals(0, cache.refusedForMs("acme", 1_302));
  }

  @Test
  void shouldRefuseAgainWhenTheProbeIsRefused() {
    cache.recordRefusal("acme", 300, 1_000);
    cache.refusedForMs("acme", 1_300);

    cache.recordRefusal("acme", 500, 1_310);

    assertEquals(490, cache.refusedForMs("acme", 1_320));
  }

  @Test
  void shouldEndTheRefusalWhenTheProbeIsNotAnswered() {
    cache.recordRefusal("acme", 300, 1_000);
    cache.refusedForMs("acme", 1_300);

    assertEquals(0, cache.refusedForMs("acme", 1_300 + RefusalCache.PROBE_MS));
    assertEquals(0, cache.refusedForMs("acme", 1_301 + RefusalCache.PROBE_MS));
  }

  @Test
  void shouldBoundTheTimeWhenTheHolderStatesOneThatIsVeryLong() {
    cache.recordRefusal("acme", Long.MAX_VALUE, 1_000);

    assertEquals(RefusalCache.MAX_MS, cache.refusedForMs("acme", 1_000));
  }
}
