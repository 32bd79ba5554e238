package io.lycheejunction.common.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import java.util.List;
import java.util.Optional;

/** The platform's answer to a {@link PlatformMessage}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PlatformAnswer.Failed.class, name = "failed"),
  @JsonSubTypes.Type(value = PlatformAnswer.Put.class, name = "put"),
  @JsonSubTypes.Type(value = PlatformAnswer.Rows.class, name = "rows"),
  @JsonSubTypes.Type(value = PlatformAnswer.Content.class, name = "content"),
  @JsonSubTypes.Type(value = PlatformAnswer.Names.class, name = "names"),
  @JsonSubTypes.Type(value = PlatformAnswer.Vms.class, name = "vms"),
})
public sealed interface PlatformAnswer {

  /**
   * The request was refused.
   *
   * @param fault the reason
   */
  record Failed(Fault fault) implements PlatformAnswer {}

  /**
   * The outcome of a conditional write.
   *
   * @param existing the value of the existing row, which is unchanged; empty if the row was written
   */
  record Put(Optional<String> existing) implements PlatformAnswer {}

  /**
   * The rows that were read.
   *
   * @param rows the rows
   */
  record Rows(List<Row> rows) implements PlatformAnswer {}

  /**
   * The content of an object.
   *
   * @param content the content; empty if there is no such object
   */
  record Content(Optional<String> content) implements PlatformAnswer {}

  /**
   * The names of objects.
   *
   * @param names the names
   */
  record Names(List<String> names) implements PlatformAnswer {}

  /**
   * The listed VMs.
   *
   * @param vms the VMs
   */
  record Vms(List<Vm> vms) implements PlatformAnswer {}
}
