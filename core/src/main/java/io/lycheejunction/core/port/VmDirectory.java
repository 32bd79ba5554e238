package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;
import java.util.List;

/** The platform's list of live and leaving VMs, which lags behind reality. */
public interface VmDirectory {

  /**
   * Returns the VMs that the platform lists.
   *
   * @return the VMs
   */
  Result<List<Vm>> list();
}
