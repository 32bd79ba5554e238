/** What callers get when they ask for more than the targets can do, and after a cut heals. */
package io.lycheejunction.bench.overload;
