/** The HTTP server and the callers' interface. */
package io.lycheejunction.proxy.caller;
