package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;
import java.util.List;

/** Client of the platform's list of live and leaving VMs, which may be out of date. */
public interface VmDirectory {

  /**
   * Returns the VMs that the platform lists.
   *
   * @return the VMs
   */
  Result<List<Vm>> list();
}
