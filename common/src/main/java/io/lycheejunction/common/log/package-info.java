/** Structured logging, one line of key=value pairs per event. */
package io.lycheejunction.common.log;
