/** The organisations of callers: their keys, priorities and quotas. */
package io.lycheejunction.gateway.organisation;
