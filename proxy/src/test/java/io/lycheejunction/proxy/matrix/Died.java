package io.lycheejunction.proxy.matrix;

/** Unwinds the work of a proxy that has died; an error, so that no code of the proxy handles it. */
final class Died extends Error {
  private static final long serialVersionUID = 1;

  Died(String proxy) {
    super(proxy, null, false, false);
  }
}
