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

/** Reaches the modelled platform from one failure domain. */
public final class ModelPlatform implements PlatformTable, ObjectStore, VmDirectory {
  /** The time after which a call without an answer is given up, in milliseconds. */
  public static final long TIMEOUT_MS = 1_000;

  private final Transport transport;
  private final PlatformModel platform;
  private final Links links;

  /**
   * Creates the platform as one failure domain sees it.
   *
   * @param source the failure domain that calls come from
   * @param platform the contents and faults
   * @param links the links, which can be cut
   * @param faults decides on faults; the platform is the target {@code platform}
   * @param clock the runtime clock
   */
  public ModelPlatform(
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
    return write("putIfAbsent", () -> platform.putIfAbsent(table, row));
  }

  @Override
  public Result<Optional<Row>> get(String table, String key) {
    return read("get", () -> platform.row(table, key));
  }

  @Override
  public Result<Optional<String>> get(String name) {
    return read("getObject", () -> platform.object(name));
  }

  @Override
  public Result<List<Row>> scan(String table, String afterKey, int limit) {
    return read("scan", () -> platform.rows(table, afterKey, limit));
  }

  @Override
  public Result<String> put(String name, String content) {
    return write(
        "putObject",
        () -> {
          platform.putObject(name, content);
          return name;
        });
  }

  @Override
  public Result<List<String>> list(String prefix) {
    return read("listObjects", () -> platform.objectNames(prefix));
  }

  @Override
  public Result<List<Vm>> list() {
    return call(
        "listVms", () -> Result.success(platform.vms()), ResultCode.STORE_UNAVAILABLE, false);
  }

  private <T> Result<T> read(String operation, Supplier<T> effect) {
    return call(operation, () -> unlessDown(effect), ResultCode.STORE_UNAVAILABLE, false);
  }

  private <T> Result<T> write(String operation, Supplier<T> effect) {
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
      String operation, Transport.Effect<Result<T>> effect, ResultCode lost, boolean writes) {
    Transport.Missing<Result<T>> missing =
        new Transport.Missing<>(
            Result.failure(ResultCode.STORE_UNAVAILABLE, "refused by the platform"),
            Result.failure(lost, "no answer from the platform"));
    Call call = new Call(transport.source(), "platform", operation);
    return transport.call(call, new PlatformRoute(writes), TIMEOUT_MS, effect, missing);
  }

  private final class PlatformRoute implements Transport.Route {
    private final boolean writes;
    private boolean replyLost;

    PlatformRoute(boolean writes) {
      this.writes = writes;
    }

    @Override
    public boolean isRefused() {
      return false;
    }

    @Override
    public boolean isCut() {
      return replyLost || links.isPlatformCut(transport.source());
    }

    @Override
    public boolean isSilent() {
      return false;
    }

    @Override
    public long delayMs() {
      return 0;
    }

    @Override
    public void submit(Runnable request) {
      request.run();
      replyLost = writes && platform.losesReply();
    }
  }
}
