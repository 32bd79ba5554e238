package io.lycheejunction.core.membership;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.lycheejunction.core.port.Vm;
import java.util.Objects;

/**
 * What one proxy tells another of a third; the names in JSON are short to save bytes.
 *
 * @param name the name of the third's entry VM
 * @param failureDomain its failure domain
 * @param address its address
 * @param incarnation the incarnation that the report is about
 * @param health whether it is taken to run
 * @param leaving true if it is leaving
 * @param version the configuration version known to be in force on it
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
