package io.lycheejunction.proxy.matrix;

import io.lycheejunction.standin.model.FaultInjector;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Numbers the calls to ports and peers as steps, and injects the planned faults at them. */
final class StepFaultInjector implements FaultInjector {
  /** The two points of a call at which a fault can be injected. */
  enum Side {
    BEFORE_EFFECT,
    BEFORE_REPLY
  }

  /** One side of one step. */
  record Boundary(int step, Side side) {}

  /** A fault and the boundary at which to inject it. */
  record PlannedFault(Boundary at, FaultKind fault) {}

  private final Fleet fleet;
  private final List<PlannedFault> plannedFaults;
  private final Map<Call, Integer> stepNumbers = new IdentityHashMap<>();
  private final List<String> stepOperations = new ArrayList<>();
  private final List<Boundary> reachedBoundaries = new ArrayList<>();
  private Set<String> backgroundOperations = Set.of();
  private boolean recording;
  private int injectedCount;

  StepFaultInjector(Fleet fleet, List<PlannedFault> plannedFaults) {
    this.fleet = fleet;
    this.plannedFaults = List.copyOf(plannedFaults);
  }

  /** Starts to number all foreground calls, and the background calls of the given operations. */
  void startRecording(Set<String> operations) {
    backgroundOperations = operations;
    recording = true;
  }

  void stopRecording() {
    recording = false;
  }

  boolean hasPlannedFaults() {
    return !plannedFaults.isEmpty();
  }

  List<String> stepOperations() {
    return stepOperations;
  }

  List<Boundary> reachedBoundaries() {
    return reachedBoundaries;
  }

  int injectedCount() {
    return injectedCount;
  }

  @Override
  public FaultAction before(Call call) {
    fleet.throwIfProxyDead();
    fleet.checkLeavingTarget(call);
    if (!recording || (fleet.isBackground() && !backgroundOperations.contains(call.operation()))) {
      return FaultAction.PASS;
    }
    stepNumbers.put(call, stepOperations.size());
    stepOperations.add(call.operation());
    return injectAt(call, Side.BEFORE_EFFECT);
  }

  @Override
  public FaultAction after(Call call) {
    return injectAt(call, Side.BEFORE_REPLY);
  }

  private FaultAction injectAt(Call call, Side side) {
    Integer number = stepNumbers.get(call);
    if (number == null) {
      return FaultAction.PASS;
    }
    Boundary boundary = new Boundary(number, side);
    reachedBoundaries.add(boundary);
    for (PlannedFault planned : plannedFaults) {
      if (planned.at().equals(boundary)) {
        injectedCount++;
        return planned.fault().inject(fleet, call.operation(), side);
      }
    }
    return FaultAction.PASS;
  }
}
