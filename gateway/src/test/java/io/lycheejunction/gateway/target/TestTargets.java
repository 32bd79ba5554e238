package io.lycheejunction.gateway.target;

/** Targets for tests. */
public final class TestTargets {
  /** The service of all targets. */
  public static final String SERVICE = "ledger";

  private TestTargets() {}

  /** Returns a target that is in service, in the failure domain of the same name. */
  public static Target target(String id, boolean primary, long revision) {
    return new Target(
        id, 1, SERVICE, new Endpoint("10.0.0.1", 1), "domain-" + id, 3, false, primary, revision);
  }

  /** Returns the target with another word on whether it leaves. */
  public static Target leaving(Target target, long revision) {
    return new Target(
        target.id(),
        target.bornMs(),
        target.service(),
        target.endpoint(),
        target.failureDomain(),
        target.slots(),
        true,
        target.claimsPrimary(),
        revision);
  }
}
