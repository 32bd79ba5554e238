/** Storage of the request counts for the error budget burn report. */
package io.lycheejunction.common.burn;
