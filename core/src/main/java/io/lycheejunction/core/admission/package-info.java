/** Admission control for targets: limits, fair queueing by service, and early refusal. */
package io.lycheejunction.core.admission;
