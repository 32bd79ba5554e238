package io.lycheejunction.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.organisation.Quota;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against tokens that are used late or twice, and against too many on their way. */
class QuotaTransferTest {
  private static final double DELTA = 1e-6;
  private static final String NAME = QuotaFleet.ORGANISATION;
  private static final Optional<Map<String, Double>> ONE_TOKEN = Optional.of(Map.of(NAME, 1.0));
  private static final Quota QUOTA = new Quota(1, 1);

  private final ManualScheduler scheduler = new ManualScheduler();
  private final List<Consumer<Optional<Map<String, Double>>>> requests = new ArrayList<>();
  private final Quotas quotas =
      new Quotas(
          Optional.of(QuotaFleet.ALLOWANCE),
          scheduler,
          () -> OptionalLong.of(0),
          (vm, want, done) -> requests.add(done),
          () -> List.of("vm-2"));
  private int refused;

  QuotaTransferTest() {
    quotas.setSlots(2);
    quotas.apply(QuotaFleet.organisations(QUOTA));
  }

  private void offer(int count) {
    for (int i = 0; i < count; i++) {
      quotas.admit(
          Optional.of(NAME),
          true,
          decision -> refused += decision instanceof QuotaDecision.Refused ? 1 : 0);
      scheduler.advanceMs(1);
    }
  }

  /** Uses the 3.5 first tokens up, so that one more operation asks the other holder. */
  private Consumer<Optional<Map<String, Double>>> requestForToken() {
    offer(4);
    assertEquals(3, quotas.counts().allowed());
    return requests.getFirst();
  }

  /** Failure: the other holder does not answer while the own bucket gains tokens. */
  @Test
  void shouldStartTheWaitingOperationWhenTheOwnBucketHasTokenAgain() {
    quotas.apply(QuotaFleet.organisations(new Quota(100, 1)));
    offer(4);
    scheduler.advanceMs(Quotas.WAIT_MS / 2);

    assertEquals(4, quotas.counts().allowed());
  }

  @Test
  void shouldStartTheWaitingOperationWhenTokensArrive() {
    requestForToken().accept(ONE_TOKEN);

    assertEquals(4, quotas.counts().allowed());
  }

  @Test
  void shouldRefuseTheWaitingOperationAndIgnoreTokensWhenTheyArriveLate() {
    final Consumer<Optional<Map<String, Double>>> answer = requestForToken();
    scheduler.advanceMs(Quotas.WAIT_MS);
    assertEquals(1, refused);

    scheduler.advanceMs(ReceivedTokens.VALID_MS - Quotas.WAIT_MS);
    answer.accept(ONE_TOKEN);

    assertTrue(quotas.counts().tokensExpired() > 0);
    assertEquals(0, quotas.counts().tokensReceived());
  }

  @Test
  void shouldUseTokensOnceWhenTheAnswerIsDoubledOrContainsMoreThanWasAskedFor() {
    Consumer<Optional<Map<String, Double>>> answer = requestForToken();

    answer.accept(Optional.of(Map.of(NAME, 50.0)));
    answer.accept(ONE_TOKEN);

    assertTrue(quotas.counts().tokensReceived() <= 1);
  }

  @Test
  void shouldIgnoreAnswersWhenTheClockMayHaveMissedTimeSinceTheRequest() {
    Consumer<Optional<Map<String, Double>>> answer = requestForToken();

    quotas.onClockGap(scheduler.nowMs());
    answer.accept(ONE_TOKEN);

    assertEquals(0, quotas.counts().tokensReceived());
  }

  @Test
  void shouldDropTokensAboveTheCapacityWhenTheyAreNotUsedInTime() {
    long nowMs = scheduler.nowMs();
    OrganisationQuota organisation =
        new OrganisationQuota(NAME, QUOTA, 2, QuotaFleet.ALLOWANCE, new QuotaCounts(), nowMs);
    double capacity = QuotaFleet.ALLOWANCE.capacity(QUOTA, 2);

    organisation.receive(10, true, nowMs, nowMs);

    assertTrue(organisation.available(true, nowMs + ReceivedTokens.VALID_MS - 1) > capacity + 9);
    assertEquals(capacity, organisation.available(true, nowMs + ReceivedTokens.VALID_MS), DELTA);
  }

  @Test
  void shouldGiveNoMoreThanTheLimitInAnyPeriod() {
    Quota large = new Quota(100, 1_000);
    quotas.apply(QuotaFleet.organisations(large));
    scheduler.advanceMs(20_000);
    double limit = QuotaFleet.ALLOWANCE.giftLimit(large, 2);

    double given = quotas.give(Map.of(NAME, 1_000.0)).get(NAME);
    assertEquals(limit, given, DELTA);
    scheduler.advanceMs(TokenLender.PERIOD_MS - 1);
    assertTrue(quotas.give(Map.of(NAME, 1_000.0)).isEmpty());
    scheduler.advanceMs(1);
    assertEquals(limit, quotas.give(Map.of(NAME, 1_000.0)).get(NAME), DELTA);
  }

  @Test
  void shouldSendNothingWhenTheDemandIsWithinTheOwnPart() {
    for (int second = 0; second < 30; second++) {
      offer(1);
      scheduler.advanceMs(3_000);
    }

    assertEquals(30, quotas.counts().allowed());
    assertTrue(requests.isEmpty());
  }
}
