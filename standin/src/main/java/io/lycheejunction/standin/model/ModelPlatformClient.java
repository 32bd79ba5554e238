package io.lycheejunction.standin.model;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.port.VmDirectory;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.model.FaultInjector.Call;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/** Client of a {@link PlatformModel} in one failure domain, with injected faults. */
public final class ModelPlatformClient implements PlatformTable, ObjectStore, VmDirectory {
  /** The timeout of a call, in milliseconds. */
  public static final long TIMEOUT_MS = 1_000;

  private final Transport transport;
  private final PlatformModel platform;
  private final Links links;

  /**
   * Creates the client of one failure domain.
   *
   * @param source the failure domain that calls come from
   * @param platform the contents and faults of the platform
   * @param links the links to the platform, which can be cut
   * @param faults selects the faults of calls, whose target is {@code platform}
   * @param clock the runtime clock
   */
  public ModelPlatformClient(
      String source,
      PlatformModel platform,
      Links links,
      FaultInjector faults,
      RuntimeClock clock) {
    this.transport = new Transport(source, faults, clock);
    this.platform = Objects.requireNonNull(platform, "platform is null");
    this.links = Objects.requireNonNull(links, "links is null");
  }

  @Override
  public Result<PutOutcome> putIfAbsent(String table, Row row) {
    return callWrite("putIfAbsent", () -> platform.putIfAbsent(table, row));
  }

  @Override
  public Result<Optional<Row>> get(String table, String key) {
    return callRead("get", () -> platform.row(table, key));
  }

  @Override
  public Result<Optional<String>> get(String name) {
    return callRead("getObject", () -> platform.object(name));
  }

  @Override
  public Result<List<Row>> scan(String table, String afterKey, int limit) {
    return callRead("scan", () -> platform.rows(table, afterKey, limit));
  }

  @Override
  public Result<String> put(String name, String content) {
    return callWrite(
        "putObject",
        () -> {
          platform.putObject(name, content);
          return name;
        });
  }

  @Override
  public Result<List<String>> list(String prefix) {
    return callRead("listObjects", () -> platform.objectNames(prefix));
  }

  @Override
  public Result<List<Vm>> list() {
    return call(
        "listVms", () -> Result.success(platform.vms()), ResultCode.STORE_UNAVAILABLE, false);
  }

  private <T> Result<T> callRead(String operation, Supplier<T> effect) {
    return call(operation, () -> unlessDown(effect), ResultCode.STORE_UNAVAILABLE, false);
  }

  private <T> Result<T> callWrite(String operation, Supplier<T> effect) {
    return call(operation, () -> unlessDown(effect), ResultCode.STORE_UNKNOWN, true);
  }

  private <T> Result<T> unlessDown(Supplier<T> effect) throws InterruptedException {
    long slowMs = platform.slowMs();
    if (slowMs > 0) {
      transport.clock().sleepMs(slowMs);
    }
    return platform.isDown()
        ? Result.failure(ResultCode.STORE_UNAVAILABLE, "the platform is down")
        : Result.success(effect.get());
  }

  private <T> Result<T> call(
      String operation, Transport.Effect<Result<T>> effect, ResultCode lostCode, boolean writes) {
    Transport.Fallback<Result<T>> fallback =
        new Transport.Fallback<>(
            Result.failure(ResultCode.STORE_UNAVAILABLE, "refused by the platform"),
            Result.failure(lostCode, "no answer from the platform"));
    Call call = new Call(transport.source(), "platform", operation);
    return transport.call(call, new PlatformRoute(writes), TIMEOUT_MS, effect, fallback);
  }

  private final class PlatformRoute implements Transport.Route {
    private final boolean writes;
    private boolean replyLost;

    PlatformRoute(boolean writes) {
      this.writes = writes;
    }

    @Override
    public boolean refusesConnections() {
      return false;
    }

    @Override
    public boolean isCut() {
      return replyLost || links.isPlatformCut(transport.source());
    }

    @Override
    public boolean isUnresponsive() {
      return false;
    }

    @Override
    public long delayMs() {
      return 0;
    }

    @Override
    public void submit(Runnable request) {
      request.run();
      replyLost = writes && platform.dropsNextReply();
    }
  }
}
