/** The report of error budget burn rates per service. */
package io.lycheejunction.burn;
