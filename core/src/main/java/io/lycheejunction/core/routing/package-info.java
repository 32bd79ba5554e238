/** Request routing: selects the holder of a target's connections and the targets for a read. */
package io.lycheejunction.core.routing;
