/** The injectable clock of the runtime, and the detection of suspensions. */
package io.lycheejunction.core.clock;
