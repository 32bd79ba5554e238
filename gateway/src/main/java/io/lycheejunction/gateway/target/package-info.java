/** What is known of the targets: where they are, who leads, who leaves. */
package io.lycheejunction.gateway.target;
