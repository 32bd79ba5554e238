/** The JSON messages between the proxies' adapters and the stand-ins. */
package io.lycheejunction.common.wire;
