/** The JSON messages between the proxies and the stand-ins of the platform and the instances. */
package io.lycheejunction.common.wire;
