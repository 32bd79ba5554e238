/** Where a request goes: the holder of a target's pool and the target of a read. */
package io.lycheejunction.core.routing;
