/** Which request runs next on a target, and which is refused because it would wait too long. */
package io.lycheejunction.core.admission;
