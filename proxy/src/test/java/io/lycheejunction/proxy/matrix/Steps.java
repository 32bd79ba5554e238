package io.lycheejunction.proxy.matrix;

import io.lycheejunction.standin.model.FaultInjector;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Numbers the calls of ports and strikes at chosen boundaries of them. */
final class Steps implements FaultInjector {
  /** The two places of a call at which a fault may strike. */
  enum Side {
    BEFORE_EFFECT,
    BEFORE_REPLY
  }

  /** One place of one numbered call. */
  record Boundary(int step, Side side) {}

  /** A fault and the place at which it strikes. */
  record Strike(Boundary at, FaultKind fault) {}

  private final Fleet fleet;
  private final List<Strike> strikes;
  private final Map<Call, Integer> numbers = new IdentityHashMap<>();
  private final List<String> seen = new ArrayList<>();
  private final List<Boundary> reached = new ArrayList<>();
  private Set<String> background = Set.of();
  private boolean recording;
  private int struck;

  Steps(Fleet fleet, List<Strike> strikes) {
    this.fleet = fleet;
    this.strikes = List.copyOf(strikes);
  }

  /** Numbers the callers' calls, and those of the operations from now on. */
  void record(Set<String> operations) {
    background = operations;
    recording = true;
  }

  void stop() {
    recording = false;
  }

  boolean hasStrikes() {
    return !strikes.isEmpty();
  }

  List<String> seen() {
    return seen;
  }

  List<Boundary> reached() {
    return reached;
  }

  int struck() {
    return struck;
  }

  @Override
  public Injected before(Call call) {
    fleet.checkRunning();
    fleet.audit(call);
    if (!recording || (fleet.isBackground() && !background.contains(call.operation()))) {
      return Injected.PASS;
    }
    numbers.put(call, seen.size());
    seen.add(call.operation());
    return strike(call, Side.BEFORE_EFFECT);
  }

  @Override
  public Injected after(Call call) {
    return strike(call, Side.BEFORE_REPLY);
  }

  private Injected strike(Call call, Side side) {
    Integer number = numbers.get(call);
    if (number == null) {
      return Injected.PASS;
    }
    Boundary at = new Boundary(number, side);
    reached.add(at);
    for (Strike strike : strikes) {
      if (strike.at().equals(at)) {
        struck++;
        return strike.fault().inject(fleet, call.operation(), side);
      }
    }
    return Injected.PASS;
  }
}
