/** The adapter that reaches targets by HTTP with JSON. */
package io.lycheejunction.proxy.target;
