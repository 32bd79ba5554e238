package io.lycheejunction.proxy.matrix;

/**
 * Unwinds the stack of a proxy that has died. An {@link Error}, so that no handler for exceptions
 * in the proxy catches it.
 */
final class ProxyDiedError extends Error {
  private static final long serialVersionUID = 1;

  ProxyDiedError(String proxy) {
    super(proxy, null, false, false);
  }
}
