/** How often and how soon a request that has not run is tried again. */
package io.lycheejunction.core.retry;
