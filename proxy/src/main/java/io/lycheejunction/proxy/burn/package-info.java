/** Counts callers' requests for the error budget burn report. */
package io.lycheejunction.proxy.burn;
