/** Terms and log positions of a database group. */
package io.lycheejunction.core.term;
