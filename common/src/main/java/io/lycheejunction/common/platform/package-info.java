/** The adapters that reach the platform by HTTP with JSON. */
package io.lycheejunction.common.platform;
