/** Log events, one line of key=value pairs each. */
package io.lycheejunction.common.log;
