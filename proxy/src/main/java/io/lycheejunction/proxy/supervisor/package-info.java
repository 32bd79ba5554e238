/** The supervisor, which starts, restarts and stops the proxy's children. */
package io.lycheejunction.proxy.supervisor;
