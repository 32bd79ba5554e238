package io.lycheejunction.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import io.lycheejunction.common.wire.FaultMessage;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Help text that lists the HTTP requests on the platform's port. */
final class Help {
  private static final String PATHS =
      """
      On the platform's port: GET /groups, POST /groups, GET /vms, POST /vms, POST /vms/remove,
      GET /groups/GROUP/ledger/LEDGER[?target=NAME], GET /groups/GROUP/log/TARGET, and faults:
      """;

  private Help() {}

  /** Returns the paths, and each fault with the fields of its request body. */
  static String text() {
    return Arrays.stream(FaultMessage.class.getAnnotation(JsonSubTypes.class).value())
        .map(type -> "  POST " + FaultMessage.PATH + type.name() + " {" + fields(type) + "}")
        .collect(Collectors.joining("\n", PATHS, "\n"));
  }

  private static String fields(JsonSubTypes.Type type) {
    return Arrays.stream(type.value().getRecordComponents())
        .map(RecordComponent::getName)
        .collect(Collectors.joining(", "));
  }
}
