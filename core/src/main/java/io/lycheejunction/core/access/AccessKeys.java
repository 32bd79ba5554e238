package io.lycheejunction.core.access;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;

/** The set of access keys that a proxy accepts. */
public final class AccessKeys {
  private static final String BEARER = "Bearer ";

  private final List<Grant> grants;

  private AccessKeys(List<Grant> grants) {
    this.grants = List.copyOf(grants);
  }

  /**
   * Returns the set of the given keys.
   *
   * @param grants the keys with their scopes
   * @return the access keys
   */
  public static AccessKeys of(List<Grant> grants) {
    return new AccessKeys(grants);
  }

  /**
   * Returns why a request is not allowed.
   *
   * @param authorization the value of the request's {@code Authorization} header, if it has one
   * @param required the access that the request needs
   * @return the fault, or empty if the request is allowed
   */
  public Optional<Fault> refusal(Optional<String> authorization, RequiredAccess required) {
    if (required instanceof RequiredAccess.Public) {
      return Optional.empty();
    }
    if (authorization.isEmpty()) {
      return refused(ResultCode.NO_CREDENTIAL, "the request has no Authorization header");
    }
    if (!authorization.get().regionMatches(true, 0, BEARER, 0, BEARER.length())) {
      return refused(ResultCode.WRONG_CREDENTIAL, "the credential is not a bearer token");
    }
    return refusalOfKey(
        Grant.digest(authorization.get().substring(BEARER.length()).strip()), required);
  }

  /** Compares with every key, so that the response time does not reveal which key matched. */
  private Optional<Fault> refusalOfKey(byte[] presented, RequiredAccess required) {
    boolean known = false;
    boolean allowed = false;
    for (Grant grant : grants) {
      boolean matched = grant.matches(presented);
      known |= matched;
      allowed |= matched & grant.scope().allows(required);
    }
    if (allowed) {
      return Optional.empty();
    }
    return known
        ? refused(ResultCode.NOT_ALLOWED, "the credential does not allow this request")
        : refused(ResultCode.WRONG_CREDENTIAL, "the credential is not known");
  }

  private static Optional<Fault> refused(ResultCode code, String detail) {
    return Optional.of(Fault.of(code, detail));
  }
}
