/** The runtime clock that uses the system time. */
package io.lycheejunction.common.clock;
