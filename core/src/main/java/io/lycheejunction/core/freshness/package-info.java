/** Which log position a read must see, so that it is fresh enough. */
package io.lycheejunction.core.freshness;
