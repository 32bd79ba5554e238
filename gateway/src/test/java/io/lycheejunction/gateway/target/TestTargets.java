package io.lycheejunction.gateway.target;

/** Creates targets for tests. */
public final class TestTargets {
  /** The service of all targets. */
  public static final String SERVICE = "ledger";

  private TestTargets() {}

  /** Returns a target that is not leaving, in a failure domain named after it. */
  public static Target target(String id, boolean primary, long revision) {
    return new Target(
        id,
        1,
        revision,
        SERVICE,
        new Endpoint("10.0.0.1", 1),
        "domain-" + id,
        3,
        false,
        primary,
        revision);
  }

  /** Returns a newer registration of the target that is marked as leaving. */
  public static Target leaving(Target target, long revision) {
    return new Target(
        target.id(),
        target.bornMs(),
        revision,
        target.service(),
        target.endpoint(),
        target.failureDomain(),
        target.slots(),
        true,
        target.claimsPrimary(),
        revision);
  }
}
