/** The log position that a replica must have applied to serve a read within its maximum age. */
package io.lycheejunction.core.freshness;
