package io.lycheejunction.common.platform;

import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.port.VmDirectory;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;

/** Client of the platform's list of VMs, with JSON over HTTP. */
public final class HttpVmDirectory implements VmDirectory {
  private final PlatformMessageClient calls;

  /**
   * Creates the client.
   *
   * @param calls sends the requests to the platform
   */
  public HttpVmDirectory(PlatformMessageClient calls) {
    this.calls = Objects.requireNonNull(calls, "calls is null");
  }

  @Override
  public Result<List<Vm>> list() {
    return calls
        .call(new PlatformMessage.ListVms(), PlatformAnswer.Vms.class, ResultCode.STORE_UNAVAILABLE)
        .map(PlatformAnswer.Vms::vms);
  }
}
