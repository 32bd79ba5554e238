package io.lycheejunction.ctl;

import io.lycheejunction.common.http.HttpReply;

/** Sends operator requests to proxies. */
@FunctionalInterface
interface ProxyTransport {

  /**
   * Returns the outcome of a request.
   *
   * @param address the proxy as {@code ip:port}
   * @param body the request as JSON
   * @return the response, or why there is none
   */
  HttpReply send(String address, String body);
}
