/** What each role of a proxy takes as its driver grows. */
package io.lycheejunction.bench.slopes;
