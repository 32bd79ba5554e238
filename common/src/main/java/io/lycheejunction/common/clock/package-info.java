/** The system clock behind the runtime clock. */
package io.lycheejunction.common.clock;
