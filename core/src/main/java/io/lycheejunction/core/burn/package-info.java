/** Calculation of service-level objectives, error budgets and burn rates. */
package io.lycheejunction.core.burn;
