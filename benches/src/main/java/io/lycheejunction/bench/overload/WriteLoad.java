package io.lycheejunction.bench.overload;

import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.CallerReply;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.GroupCommands;
import io.lycheejunction.bench.load.LoadRunner;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.bench.load.Statement;
import io.lycheejunction.bench.load.UuidV7;
import io.lycheejunction.core.clock.RuntimeClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** The writes of one run, spread over all proxies, and their results. */
final class WriteLoad {
  private static final String SERVICE = GroupCommands.SERVICE_PREFIX + "g1";
  private static final long TIMEOUT_MS = 1_000;
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final double MICROS_PER_MS = 1_000;
  private static final double MS_PER_SECOND = 1_000;
  private static final int CODE_WITHOUT_ANSWER = 0;

  private final CallerClient client;
  private final List<LocalSite.Proxy> proxies;
  private final RuntimeClock clock;
  private final Random seeds;
  private final long durationMs;
  private final long endMs;
  private final LongAdder acknowledgedBeforeEnd = new LongAdder();
  private final Map<Integer, LongAdder> failuresByCode = new ConcurrentSkipListMap<>();
  private final Histogram failureLatencyMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);

  /** Creates the load of a run that starts now. */
  WriteLoad(
      CallerClient client,
      List<LocalSite.Proxy> proxies,
      RuntimeClock clock,
      Random seeds,
      long durationMs) {
    this.client = client;
    this.proxies = proxies;
    this.clock = clock;
    this.seeds = seeds;
    this.durationMs = durationMs;
    this.endMs = clock.monotonicMs() + durationMs;
  }

  List<LoadRunner.Step> workers(int count) {
    List<LoadRunner.Step> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      UuidV7 ids = new UuidV7(new Random(seeds.nextLong()));
      String proxy = proxies.get(i % proxies.size()).address();
      workers.add(() -> write(proxy, ids.next(clock.wallMs()).toString()));
    }
    return workers;
  }

  private boolean write(String proxy, String id) throws InterruptedException {
    String text = "append orders " + id + " {\"bottles\":1}";
    long startNs = System.nanoTime();
    CallerReply reply =
        client.send(proxy, Statement.write(SERVICE, text, id, Optional.empty(), TIMEOUT_MS));
    if (reply instanceof CallerReply.Answer answer && answer.isDone()) {
      if (clock.monotonicMs() < endMs) {
        acknowledgedBeforeEnd.increment();
      }
      return true;
    }
    int code = reply instanceof CallerReply.Answer answer ? answer.code() : CODE_WITHOUT_ANSWER;
    failuresByCode.computeIfAbsent(code, c -> new LongAdder()).increment();
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    failureLatencyMicros.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
    return false;
  }

  /** Returns the rate of writes that were acknowledged before the end of the run. */
  double goodputPerSecond() {
    return acknowledgedBeforeEnd.sum() * MS_PER_SECOND / durationMs;
  }

  List<Figure> failureFigures() {
    List<Figure> figures = new ArrayList<>();
    figures.add(
        new Figure("refuse_p50_ms", failureLatencyMicros.getValueAtPercentile(50) / MICROS_PER_MS));
    figures.add(
        new Figure("refuse_p99_ms", failureLatencyMicros.getValueAtPercentile(99) / MICROS_PER_MS));
    failuresByCode.forEach((code, count) -> figures.add(new Figure("code_" + code, count.sum())));
    return figures;
  }
}
