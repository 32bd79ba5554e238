package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.peer.PeerAnswer;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Messages between simulated holders, which take time and may be lost, late or doubled. */
final class SimulatedNetwork {
  private static final long TIMEOUT_MS = 200;
  private static final int LATENCY_MS = 4;
  private static final int LATE_MS = 400;

  /** A holder that sends and handles messages. */
  interface Host {

    /** Returns whether no message from or to the holder arrives. */
    boolean isCutOff();

    /** Runs an action on the holder's thread, unless the holder is dead. */
    void run(Runnable action);

    /** Runs an action after the messages that arrived before. */
    void handle(Runnable action);
  }

  final Map<String, Integer> sent = new HashMap<>();
  double lost;
  double late;
  double doubled;

  private final ManualScheduler clock;
  private final Random random;

  SimulatedNetwork(ManualScheduler clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  <T> void send(
      String kind,
      Host from,
      Host to,
      Supplier<PeerAnswer<T>> handler,
      Consumer<PeerAnswer<T>> done) {
    sent.merge(kind, 1, Integer::sum);
    boolean[] answered = new boolean[1];
    Consumer<PeerAnswer<T>> answerOnce =
        answer -> {
          if (!answered[0]) {
            answered[0] = true;
            done.accept(answer);
          }
        };
    clock.schedule(TIMEOUT_MS, () -> from.run(() -> answerOnce.accept(new PeerAnswer.Silent<>())));
    Runnable handle =
        () -> {
          PeerAnswer<T> answer = handler.get();
          deliver(to, from, () -> from.run(() -> answerOnce.accept(answer)));
        };
    for (int copy = 0; copy < (random.nextDouble() < doubled ? 2 : 1); copy++) {
      deliver(from, to, () -> to.handle(handle));
    }
  }

  private void deliver(Host from, Host to, Runnable action) {
    if (from.isCutOff() || to.isCutOff() || random.nextDouble() < lost) {
      return;
    }
    long lateMs = random.nextDouble() < late ? random.nextInt(LATE_MS) : 0;
    clock.schedule(1 + random.nextInt(LATENCY_MS) + lateMs, action);
  }
}
