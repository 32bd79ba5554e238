/** The service-level burn report. */
package io.lycheejunction.burn;
