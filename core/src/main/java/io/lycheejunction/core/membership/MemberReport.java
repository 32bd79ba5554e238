package io.lycheejunction.core.membership;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.lycheejunction.core.port.Vm;
import java.util.Objects;

/**
 * A report that one proxy sends another about a third. The JSON names are short to keep the message
 * small.
 *
 * @param name the name of the reported proxy's entry VM
 * @param failureDomain the failure domain of that VM
 * @param address the address of that VM as {@code ip:port}
 * @param incarnation the incarnation that the report is about
 * @param health whether the proxy is considered to be running
 * @param leaving true if the proxy is leaving
 * @param version the highest configuration version known to be in force on the proxy
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record MemberReport(
    @JsonProperty("n") String name,
    @JsonProperty("d") String failureDomain,
    @JsonProperty("a") String address,
    @JsonProperty("i") long incarnation,
    @JsonProperty("h") Member.Health health,
    @JsonProperty("l") boolean leaving,
    @JsonProperty("v") long version) {
  /** Rejects null components. */
  public MemberReport {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(address, "address is null");
    Objects.requireNonNull(health, "health is null");
  }

  static MemberReport of(Member member) {
    Vm vm = member.vm();
    return new MemberReport(
        vm.name(),
        vm.failureDomain(),
        vm.address(),
        member.incarnation(),
        member.health(),
        vm.leaving(),
        member.version());
  }

  Vm vm() {
    return new Vm(name, Vm.Kind.ENTRY, failureDomain, address, leaving);
  }
}
