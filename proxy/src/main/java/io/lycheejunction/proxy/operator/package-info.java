/** The operators' endpoint and the graceful shutdown. */
package io.lycheejunction.proxy.operator;
