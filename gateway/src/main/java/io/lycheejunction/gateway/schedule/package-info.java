/** The clock and the timer queue of the gateway's single thread. */
package io.lycheejunction.gateway.schedule;
