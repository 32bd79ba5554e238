/** The gateway's time: one clock and one queue of tasks, all on one thread. */
package io.lycheejunction.gateway.schedule;
