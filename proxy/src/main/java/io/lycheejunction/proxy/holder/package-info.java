/**
 * Connection pools of targets, each held by one proxy: admission, execution and acknowledgement of
 * statements.
 *
 * <p>The proxy that owns the pool of a target is its holder, so proxies need not coordinate their
 * connections to a target. This follows the exclusive ownership of stripes by one controller in M.
 * Pillai and M. Lauria, "RAAC: An Architecture for Scalable, Reliable Storage in Clusters", section
 * 2. It costs one more network hop, 0.26 ms at the median in docs/MEASUREMENTS.md, "Overhead". A
 * comparison with dividing each target's connections among the proxies has not been made, see
 * docs/DESIGN.md.
 */
package io.lycheejunction.proxy.holder;
