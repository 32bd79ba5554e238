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

/** Two operators who submit conflicting changes for the same version at the same time. */
final class Race {
  /** The number of races. */
  static final int RACES = 50;

  private final ConfigFleet fleet;
  private int won;
  private int wrong;
  private int backward;

  Race(ConfigFleet fleet) {
    this.fleet = fleet;
  }

  /** Runs the races and returns the pairs of a line of output. */
  String run() throws InterruptedException {
    try (ExecutorService operators = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < RACES; i++) {
        race(operators, i);
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("an operator's request failed", e);
    }
    return "races=%d one_winner=%d not_one_winner=%d versions_back=%d"
        .formatted(RACES, won, wrong, backward);
  }

  /** Returns whether each race had one winner and no version went back. */
  boolean isRight() {
    return wrong == 0 && backward == 0;
  }

  private void race(ExecutorService operators, int round)
      throws InterruptedException, ExecutionException {
    List<Long> before = fleet.nodes.stream().map(ConfigNode::version).toList();
    long version = before.stream().mapToLong(Long::longValue).max().orElseThrow();
    CyclicBarrier start = new CyclicBarrier(2);
    int size = fleet.nodes.size();
    Future<OperatorReply> one =
        operators.submit(request(fleet.nodes.get(round % size), version, 1 + round, start));
    Future<OperatorReply> other =
        operators.submit(
            request(fleet.nodes.get((round + 1) % size), version, 1 + RACES + round, start));
    if (hasOneWinner(version + 1, one.get(), other.get())) {
      won++;
    } else {
      wrong++;
      System.out.println(
          "config race=%d from_version=%d first=\"%s %s\" second=\"%s %s\""
              .formatted(
                  round,
                  version,
                  one.get().name(),
                  one.get().text(),
                  other.get().name(),
                  other.get().text()));
    }
    for (int i = 0; i < size; i++) {
      backward += fleet.nodes.get(i).version() < before.get(i) ? 1 : 0;
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

  private static boolean hasOneWinner(long version, OperatorReply one, OperatorReply other) {
    boolean oneWon = ConfigFleet.isAccepted(one);
    OperatorReply winner = oneWon ? one : other;
    OperatorReply loser = oneWon ? other : one;
    return ConfigFleet.isAccepted(winner)
        && winner.version().orElseThrow() == version
        && loser.code() == ResultCode.VERSION_CONFLICT.number();
  }
}
