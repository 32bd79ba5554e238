package io.lycheejunction.bench.overload;

import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.CallerReply;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.GroupCommands;
import io.lycheejunction.bench.load.LoadRun;
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

/** Writes of one run, spread over all proxies, and what came of them. */
final class Writes {
  private static final String SERVICE = GroupCommands.SERVICE_PREFIX + "g1";
  private static final long TIMEOUT_MS = 1_000;
  private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final double MICROS_PER_MS = 1_000;
  private static final double MS_PER_SECOND = 1_000;
  private static final int NOT_ANSWERED = 0;

  private final CallerClient client;
  private final List<LocalSite.Proxy> proxies;
  private final RuntimeClock clock;
  private final Random seeds;
  private final long durationMs;
  private final long endMs;
  private final LongAdder inTime = new LongAdder();
  private final Map<Integer, LongAdder> failures = new ConcurrentSkipListMap<>();
  private final Histogram refusalMicros = new ConcurrentHistogram(LONGEST_MICROS, 3);

  /** Creates the writes of a run that starts now. */
  Writes(
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

  List<LoadRun.Step> workers(int count) {
    List<LoadRun.Step> workers = new ArrayList<>();
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
        inTime.increment();
      }
      return true;
    }
    int code = reply instanceof CallerReply.Answer answer ? answer.code() : NOT_ANSWERED;
    failures.computeIfAbsent(code, c -> new LongAdder()).increment();
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    refusalMicros.recordValue(Math.min(LONGEST_MICROS, micros));
    return false;
  }

  /** Returns the writes that were acknowledged before the end of the run, in a second. */
  double goodputPerSecond() {
    return inTime.sum() * MS_PER_SECOND / durationMs;
  }

  List<Figure> refusals() {
    List<Figure> figures = new ArrayList<>();
    figures.add(
        new Figure("refuse_p50_ms", refusalMicros.getValueAtPercentile(50) / MICROS_PER_MS));
    figures.add(
        new Figure("refuse_p99_ms", refusalMicros.getValueAtPercentile(99) / MICROS_PER_MS));
    failures.forEach((code, count) -> figures.add(new Figure("code_" + code, count.sum())));
    return figures;
  }
}
