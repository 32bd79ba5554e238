package io.lycheejunction.gateway.quota;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Asks another holder for tokens. */
public interface QuotaClient {

  /**
   * Asks for tokens of several organisations.
   *
   * @param vm the name of the other VM
   * @param want the tokens that are wanted, by the name of the organisation
   * @param done is called with the tokens that the other VM has given, or empty if there was no
   *     usable answer in time; further calls are ignored
   */
  void request(String vm, Map<String, Double> want, Consumer<Optional<Map<String, Double>>> done);
}
