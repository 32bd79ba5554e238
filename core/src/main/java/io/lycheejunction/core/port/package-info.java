/**
 * Ports to targets, to other proxies and to the platform. The adapters that implement them contain
 * no decision logic.
 */
package io.lycheejunction.core.port;
