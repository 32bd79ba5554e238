/**
 * Stand-ins for the platform and for database groups over HTTP, for development and tests.
 *
 * <p>The platform's port serves:
 *
 * <ul>
 *   <li>{@code POST /platform}: table, object store and VM list, see {@link
 *       io.lycheejunction.common.wire.PlatformMessage};
 *   <li>{@code GET /vms}, {@code POST /vms} with {@code {name, kind, failureDomain, address,
 *       leaving}}, {@code POST /vms/remove} with {@code {name}};
 *   <li>{@code GET /groups}, {@code POST /groups} with a {@link
 *       io.lycheejunction.standin.GroupSettings};
 *   <li>{@code GET /groups/GROUP/ledger/LEDGER} for the rows on the primary, or on an instance with
 *       {@code ?target=NAME}; {@code GET /groups/GROUP/log/TARGET};
 *   <li>{@code POST /faults/NAME}, see {@link io.lycheejunction.common.wire.FaultMessage}.
 * </ul>
 *
 * <p>Each instance has a port of its own, which serves {@link
 * io.lycheejunction.common.wire.TargetMessage}. A process's failure domain is known by the address
 * it sends from: {@code 127.0.N.x} is in the N-th of the listed failure domains, any other address
 * in none.
 */
package io.lycheejunction.standin;
