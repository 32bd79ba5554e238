/** The counting of callers' requests for the burn report. */
package io.lycheejunction.proxy.burn;
