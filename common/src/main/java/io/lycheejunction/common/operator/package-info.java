/** The messages between operators' programs and proxies. */
package io.lycheejunction.common.operator;
