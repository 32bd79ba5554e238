/** The counts for the burn report in the platform's object store. */
package io.lycheejunction.common.burn;
