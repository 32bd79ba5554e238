package io.lycheejunction.gateway.route;

/**
 * The limits of a service's targets.
 *
 * @param maxConnections the connections that one target accepts from all VMs together, or 0 if that
 *     is not known
 * @param syncReplicas the number of replicas that must receive a commit before it is acknowledged
 */
public record ServiceLimits(int maxConnections, int syncReplicas) {}
