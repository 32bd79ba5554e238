package io.lycheejunction.bench.config;

import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;

/** One proxy of a fleet, as an operator uses it. */
interface ConfigNode extends AutoCloseable {

  /** Returns the name of the failure domain that the proxy runs in. */
  String domain();

  /** Returns the configuration version in force on the proxy, or -1 if it does not answer. */
  long version();

  /** Returns the proxy's reply to an operator request. */
  OperatorReply run(OperatorRequest request);

  @Override
  void close();
}
