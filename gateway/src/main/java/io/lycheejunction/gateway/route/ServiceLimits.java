package io.lycheejunction.gateway.route;

/**
 * The limits of a service's targets.
 *
 * @param maxConnections the connections that one target accepts from all VMs together
 * @param syncReplicas the replicas that must have received a commit before it is acknowledged
 */
public record ServiceLimits(int maxConnections, int syncReplicas) {}
