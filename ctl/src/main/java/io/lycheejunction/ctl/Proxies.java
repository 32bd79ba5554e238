package io.lycheejunction.ctl;

import io.lycheejunction.common.http.HttpReply;

/** Sends requests to proxies. */
@FunctionalInterface
interface Proxies {

  /**
   * Returns what became of a request.
   *
   * @param address the proxy as {@code ip:port}
   * @param body the JSON text of the request
   * @return the reply
   */
  HttpReply send(String address, String body);
}
