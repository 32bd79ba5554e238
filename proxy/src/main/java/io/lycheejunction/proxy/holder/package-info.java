/**
 * The holders of targets' connection pools: admission, execution and acknowledgement.
 *
 * <p>One proxy owns the pool of a target, so that proxies need not coordinate its connections. The
 * idea is the exclusive ownership of stripes by one controller in M. Pillai and M. Lauria, "RAAC:
 * An Architecture for Scalable, Reliable Storage in Clusters", section 2. Its price is one more
 * hop, 0.26 ms at the median in docs/MEASUREMENTS.md, "Overhead"; the comparison with pools that
 * proxies share out is open, see docs/DESIGN.md.
 */
package io.lycheejunction.proxy.holder;
