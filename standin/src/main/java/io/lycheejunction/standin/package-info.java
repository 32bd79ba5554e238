/**
 * Simulated platform and database groups, served over HTTP for development and tests.
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
 * <p>Each instance has its own port, which serves {@link
 * io.lycheejunction.common.wire.TargetMessage}. The failure domain of a process is derived from its
 * source address: {@code 127.0.N.x} belongs to the N-th of the configured failure domains, any
 * other address to none.
 */
package io.lycheejunction.standin;
