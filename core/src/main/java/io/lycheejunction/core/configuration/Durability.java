package io.lycheejunction.core.configuration;

/** When a write is acknowledged. */
public enum Durability {
  /** After a majority of the group's instances has received the write in the primary's term. */
  MAJORITY,
  /** After the primary has executed the write; a failover may lose it. */
  PRIMARY
}
