package io.lycheejunction.proxy.burn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.core.burn.HourCounts;
import io.lycheejunction.core.burn.MinuteCounts;
import io.lycheejunction.core.burn.Objective;
import io.lycheejunction.core.burn.RequestCounts;
import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.ResultCode;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are counted twice or not at all when the store is down, a reply is
 * lost or the process restarts.
 */
class RequestCountRecorderTest {
  private static final long HOUR_MS = 3_600_000;

  private final FakeStore objects = new FakeStore();
  private final BurnStore store = new BurnStore(objects);
  private final ManualClock clock = ManualClock.paused();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final RequestCountRecorder recorder =
      new RequestCountRecorder("vm", registry, store, clock);

  private void request(ResultCode code, long durationMs) {
    Timer.builder("lycheejunction.requests")
        .tag("service", "orders")
        .tag("access", "read")
        .tag("code", String.valueOf(code.number()))
        .publishPercentileHistogram()
        .serviceLevelObjectives(Duration.ofMillis(Objective.LATENCY_MS))
        .register(registry)
        .record(Duration.ofMillis(durationMs));
  }

  private long hour() {
    return clock.wallMs() / HOUR_MS;
  }

  private RequestCounts saved(long fromHour) {
    RequestCounts sum = RequestCounts.empty();
    for (long hour = fromHour; hour <= hour(); hour++) {
      HourCounts empty = new HourCounts(hour, Map.of());
      for (MinuteCounts minute : store.sumWriterCounts(hour).getOrElse(empty).minutes().values()) {
        sum = sum.plus(minute.services().getOrDefault("orders", RequestCounts.empty()));
      }
    }
    return sum;
  }

  @Nested
  class Record {
    @Test
    void shouldCountEachRequestOnceWhenRecordedAgain() {
      final long start = hour();
      request(ResultCode.DONE, 10);
      request(ResultCode.DONE, 900);
      request(ResultCode.AGE_NOT_PROVEN, 1);
      recorder.recordCounts();
      clock.advanceMs(RequestCountRecorder.INTERVAL_MS);
      recorder.recordCounts();
      assertEquals(new RequestCounts(2, 1, 1, 2, 1, Map.of(1402, 1L)), saved(start));
    }

    @Test
    void shouldSaveAllCountsWhenTheStoreIsDownThenUp() {
      final long start = hour();
      objects.down = true;
      for (int i = 0; i < 90; i++) {
        request(ResultCode.DONE, 10);
        recorder.recordCounts();
        clock.advanceMs(RequestCountRecorder.INTERVAL_MS);
      }
      objects.down = false;
      recorder.recordCounts();
      assertEquals(90, saved(start).done());
      assertEquals(0, recorder.droppedMinutes());
    }

    @Test
    void shouldCountOnceWhenTheReplyOfThePutIsLost() {
      final long start = hour();
      objects.loseReplies = true;
      request(ResultCode.DONE, 10);
      recorder.recordCounts();
      objects.loseReplies = false;
      recorder.recordCounts();
      assertEquals(1, saved(start).done());
    }

    @Test
    void shouldKeepBothCountsWhenTheProcessRestartsInTheSameMinute() {
      final long start = hour();
      request(ResultCode.DONE, 10);
      recorder.recordCounts();
      clock.advanceMs(1);
      PrometheusMeterRegistry fresh = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      new RequestCountRecorder("vm", fresh, store, clock).recordCounts();
      assertEquals(1, saved(start).done());
      assertEquals(2, objects.objects.size());
    }

    @Test
    void shouldDropTheOldestHourAndCountItsMinutesWhenTheStoreIsDownForLong() {
      objects.down = true;
      for (int i = 0; i < RequestCountRecorder.MAX_HOURS + 2; i++) {
        recorder.recordCounts();
        clock.advanceMs(HOUR_MS);
      }
      assertTrue(recorder.droppedMinutes() > 0);
    }

    @Test
    void shouldPutOneObjectWhenTheStoreIsUp() {
      recorder.recordCounts();
      assertEquals(1, objects.puts);
    }
  }

  @Nested
  class Drain {
    @Test
    void shouldSaveTheLastPartialMinuteWhenDraining() {
      final long start = hour();
      recorder.recordCounts();
      request(ResultCode.DONE, 10);
      recorder.drain();
      assertTrue(recorder.awaitIdle(1));
      assertEquals(1, saved(start).done());
    }

    @Test
    void shouldStopWaitingAndReportUnsavedCountsWhenTheStoreIsDown() {
      objects.down = true;
      recorder.drain();
      assertTrue(recorder.awaitIdle(1));
      assertFalse(recorder.waitingFor().isEmpty());
    }
  }

  @Nested
  class RollUp {
    private HourlyAggregation rollup(String name) {
      Vm vm = new Vm(name, Vm.Kind.ENTRY, "a", "127.0.0.1:1", false);
      return new HourlyAggregation(name, () -> List.of(vm), store, clock);
    }

    @Test
    void shouldWriteTheSameSumWhenTwoProxiesAggregateTheSameHour() {
      final long start = hour();
      request(ResultCode.DONE, 10);
      recorder.recordCounts();
      clock.advanceMs(HOUR_MS + HOUR_MS / 2);
      rollup("a").runIfDue();
      final Optional<HourCounts> first = store.getHourCounts(start).getOrElse(Optional.empty());
      rollup("b").runIfDue();
      assertTrue(first.isPresent());
      assertEquals(first, store.getHourCounts(start).getOrElse(Optional.empty()));
      assertEquals(
          store.sumWriterCounts(start).getOrElse(new HourCounts(0, Map.of())), first.get());
    }

    @Test
    void shouldTryAgainWhenTheStoreWasDown() {
      final long start = hour();
      recorder.recordCounts();
      clock.advanceMs(HOUR_MS + HOUR_MS / 2);
      HourlyAggregation rollup = rollup("a");
      objects.down = true;
      rollup.runIfDue();
      objects.down = false;
      rollup.runIfDue();
      assertTrue(store.getHourCounts(start).getOrElse(Optional.empty()).isPresent());
    }
  }
}
