package io.lycheejunction.core.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Objects;

/**
 * A message from one proxy to another, or the reply to it; the names in JSON are short to save
 * bytes.
 *
 * @param sender the sender's entry VM; {@code leaving} is its own word
 * @param recipient the name of the VM that it is meant for; empty if the sender knows only an
 *     address
 * @param incarnation the sender's incarnation
 * @param version the configuration version in force on the sender
 * @param reports what the sender knows of a few others
 * @param signs the signs of leaving targets that the sender knows
 */
public record Heartbeat(
    @JsonProperty("s") Vm sender,
    @JsonProperty("r") String recipient,
    @JsonProperty("i") long incarnation,
    @JsonProperty("v") long version,
    @JsonProperty("m") List<MemberReport> reports,
    @JsonProperty("t") List<LeavingSign> signs) {
  /** The most reports in one message. */
  public static final int MAX_REPORTS = 2;

  /** The most signs in one message. */
  public static final int MAX_SIGNS = 8;

  /** Rejects null components and copies the lists, up to their largest sizes. */
  public Heartbeat {
    Objects.requireNonNull(sender, "sender is null");
    Objects.requireNonNull(recipient, "recipient is null");
    reports = reports.stream().limit(MAX_REPORTS).toList();
    signs = signs.stream().limit(MAX_SIGNS).toList();
  }
}
