package io.lycheejunction.common.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A request to the platform, sent by POST to {@link #PATH}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PlatformMessage.PutRow.class, name = "putRow"),
  @JsonSubTypes.Type(value = PlatformMessage.GetRow.class, name = "getRow"),
  @JsonSubTypes.Type(value = PlatformMessage.ScanRows.class, name = "scanRows"),
  @JsonSubTypes.Type(value = PlatformMessage.GetObject.class, name = "getObject"),
  @JsonSubTypes.Type(value = PlatformMessage.PutObject.class, name = "putObject"),
  @JsonSubTypes.Type(value = PlatformMessage.ListObjects.class, name = "listObjects"),
  @JsonSubTypes.Type(value = PlatformMessage.ListVms.class, name = "listVms"),
})
public sealed interface PlatformMessage {
  /** The path that all requests go to. */
  String PATH = "/platform";

  /**
   * Inserts a row unless a row with the same key exists.
   *
   * @param table the name of the table
   * @param key the key
   * @param value the value
   */
  record PutRow(String table, String key, String value) implements PlatformMessage {}

  /**
   * Reads a row.
   *
   * @param table the name of the table
   * @param key the key
   */
  record GetRow(String table, String key) implements PlatformMessage {}

  /**
   * Reads the rows with keys greater than a key, in the order of keys.
   *
   * @param table the name of the table
   * @param afterKey the key before the first row
   * @param limit the maximum number of rows
   */
  record ScanRows(String table, String afterKey, int limit) implements PlatformMessage {}

  /**
   * Reads an object.
   *
   * @param name the name of the object
   */
  record GetObject(String name) implements PlatformMessage {}

  /**
   * Writes or replaces an object.
   *
   * @param name the name of the object
   * @param content the content
   */
  record PutObject(String name, String content) implements PlatformMessage {}

  /**
   * Lists the names of objects.
   *
   * @param prefix the prefix of the names
   */
  record ListObjects(String prefix) implements PlatformMessage {}

  /** Lists the VMs. */
  record ListVms() implements PlatformMessage {}
}
