package io.lycheejunction.bench.config;

import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Lets two operators submit conflicting changes at the same time, both conditional on the same
 * version; exactly one of them may be accepted.
 */
final class Race {
  static final int RACES = 50;

  private final ConfigFleet fleet;
  private int oneWinner;
  private int notOneWinner;
  private int versionRegressions;

  Race(ConfigFleet fleet) {
    this.fleet = fleet;
  }

  /** Runs the races and returns the counts as key=value pairs for a line of output. */
  String run() throws InterruptedException {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < RACES; i++) {
        race(executor, i);
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("an operator request of a race threw an exception", e);
    }
    return "races=%d one_winner=%d not_one_winner=%d versions_back=%d"
        .formatted(RACES, oneWinner, notOneWinner, versionRegressions);
  }

  /**
   * Returns whether one change was accepted and the other rejected in each race, and no proxy went
   * back to an earlier version.
   */
  boolean isCorrect() {
    return notOneWinner == 0 && versionRegressions == 0;
  }

  private void race(ExecutorService executor, int round)
      throws InterruptedException, ExecutionException {
    List<Long> versionsBefore = fleet.nodes.stream().map(ConfigNode::version).toList();
    long version = versionsBefore.stream().mapToLong(Long::longValue).max().orElseThrow();
    CyclicBarrier start = new CyclicBarrier(2);
    int size = fleet.nodes.size();
    Future<OperatorReply> first =
        executor.submit(request(fleet.nodes.get(round % size), version, 1 + round, start));
    Future<OperatorReply> second =
        executor.submit(
            request(fleet.nodes.get((round + 1) % size), version, 1 + RACES + round, start));
    if (hasOneWinner(version + 1, first.get(), second.get())) {
      oneWinner++;
    } else {
      notOneWinner++;
      System.out.println(
          "config race=%d from_version=%d first=\"%s %s\" second=\"%s %s\""
              .formatted(
                  round,
                  version,
                  first.get().name(),
                  first.get().text(),
                  second.get().name(),
                  second.get().text()));
    }
    for (int i = 0; i < size; i++) {
      versionRegressions += fleet.nodes.get(i).version() < versionsBefore.get(i) ? 1 : 0;
    }
  }

  private static Callable<OperatorReply> request(
      ConfigNode node, long ifVersion, int weight, CyclicBarrier start) {
    String command = "alter service " + ConfigFleet.SERVICE + " with weight = " + weight;
    OperatorRequest request =
        new OperatorRequest(command, Optional.of(ifVersion), Optional.empty(), false, false);
    return () -> {
      start.await();
      return node.run(request);
    };
  }

  private static boolean hasOneWinner(long version, OperatorReply first, OperatorReply second) {
    boolean firstWon = ConfigFleet.isAccepted(first);
    OperatorReply winner = firstWon ? first : second;
    OperatorReply loser = firstWon ? second : first;
    return ConfigFleet.isAccepted(winner)
        && winner.version().orElseThrow() == version
        && loser.code() == ResultCode.VERSION_CONFLICT.number();
  }
}
