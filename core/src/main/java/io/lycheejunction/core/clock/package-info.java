/** The injected clock of the runtime. */
package io.lycheejunction.core.clock;
