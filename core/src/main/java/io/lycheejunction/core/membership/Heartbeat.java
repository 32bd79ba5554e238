package io.lycheejunction.core.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Objects;

/**
 * A heartbeat message from one proxy to another, or the reply to it. The JSON names are short to
 * keep the message small.
 *
 * @param sender the sender's entry VM, with {@code leaving} as the sender itself reports it
 * @param recipient the name of the VM that the message is addressed to; empty if the sender knows
 *     only its address
 * @param incarnation the sender's incarnation number, which orders its statements about itself
 * @param version the version of the configuration in force on the sender
 * @param reports reports on a few other proxies
 * @param signs the leaving targets that the sender knows of
 */
public record Heartbeat(
    @JsonProperty("s") Vm sender,
    @JsonProperty("r") String recipient,
    @JsonProperty("i") long incarnation,
    @JsonProperty("v") long version,
    @JsonProperty("m") List<MemberReport> reports,
    @JsonProperty("t") List<LeavingSign> signs) {
  /** The maximum number of reports in one message. */
  public static final int MAX_REPORTS = 2;

  /** The maximum number of leaving signs in one message. */
  public static final int MAX_SIGNS = 8;

  /** Rejects null components and copies the lists, truncated to their maximum sizes. */
  public Heartbeat {
    Objects.requireNonNull(sender, "sender is null");
    Objects.requireNonNull(recipient, "recipient is null");
    reports = reports.stream().limit(MAX_REPORTS).toList();
    signs = signs.stream().limit(MAX_SIGNS).toList();
  }
}
