package io.lycheejunction.bench.config;

import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;

/** One proxy of the fleet. */
interface ConfigNode extends AutoCloseable {

  /** Returns the failure domain that the proxy is in. */
  String domain();

  /** Returns the version in force on the proxy, or -1 while it does not answer. */
  long version();

  /** Returns the proxy's answer to an operator's request. */
  OperatorReply run(OperatorRequest request);

  @Override
  void close();
}
