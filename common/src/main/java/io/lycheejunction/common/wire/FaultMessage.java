package io.lycheejunction.common.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A fault to inject into the stand-ins, sent by POST to {@link #PATH} followed by its name. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
@JsonSubTypes({
  @JsonSubTypes.Type(value = FaultMessage.Cut.class, name = "cut"),
  @JsonSubTypes.Type(value = FaultMessage.Heal.class, name = "heal"),
  @JsonSubTypes.Type(value = FaultMessage.CutPlatform.class, name = "cut-platform"),
  @JsonSubTypes.Type(value = FaultMessage.HealPlatform.class, name = "heal-platform"),
  @JsonSubTypes.Type(value = FaultMessage.HealAll.class, name = "heal-all"),
  @JsonSubTypes.Type(value = FaultMessage.Pause.class, name = "pause"),
  @JsonSubTypes.Type(value = FaultMessage.Resume.class, name = "resume"),
  @JsonSubTypes.Type(value = FaultMessage.Crash.class, name = "crash"),
  @JsonSubTypes.Type(value = FaultMessage.Restart.class, name = "restart"),
  @JsonSubTypes.Type(value = FaultMessage.Lag.class, name = "lag"),
  @JsonSubTypes.Type(value = FaultMessage.ApplyLag.class, name = "apply-lag"),
  @JsonSubTypes.Type(value = FaultMessage.TargetLeaving.class, name = "target-leaving"),
  @JsonSubTypes.Type(value = FaultMessage.VmLeaving.class, name = "vm-leaving"),
  @JsonSubTypes.Type(value = FaultMessage.TableDown.class, name = "table-down"),
  @JsonSubTypes.Type(value = FaultMessage.TableSlow.class, name = "table-slow"),
  @JsonSubTypes.Type(value = FaultMessage.LoseReplies.class, name = "table-lose-replies"),
  @JsonSubTypes.Type(value = FaultMessage.LoseProbes.class, name = "lose-probes"),
})
public sealed interface FaultMessage {
  /** The path before the name of the fault. */
  String PATH = "/faults/";

  /**
   * Cuts the link between two failure domains.
   *
   * @param a one failure domain
   * @param b the other
   */
  record Cut(String a, String b) implements FaultMessage {}

  /**
   * Restores the link between two failure domains.
   *
   * @param a one failure domain
   * @param b the other
   */
  record Heal(String a, String b) implements FaultMessage {}

  /**
   * Cuts the link between a failure domain and the platform.
   *
   * @param domain the failure domain
   */
  record CutPlatform(String domain) implements FaultMessage {}

  /**
   * Restores the link between a failure domain and the platform.
   *
   * @param domain the failure domain
   */
  record HealPlatform(String domain) implements FaultMessage {}

  /** Restores all links. */
  record HealAll() implements FaultMessage {}

  /**
   * Pauses an instance.
   *
   * @param target the instance
   */
  record Pause(String target) implements FaultMessage {}

  /**
   * Resumes a paused instance.
   *
   * @param target the instance
   */
  record Resume(String target) implements FaultMessage {}

  /**
   * Crashes an instance; its address then refuses connections.
   *
   * @param target the instance
   */
  record Crash(String target) implements FaultMessage {}

  /**
   * Starts a crashed instance again.
   *
   * @param target the instance
   */
  record Restart(String target) implements FaultMessage {}

  /**
   * Sets the time until an instance receives an entry of the log.
   *
   * @param target the instance
   * @param lagMs the delay, in milliseconds
   */
  record Lag(String target, long lagMs) implements FaultMessage {}

  /**
   * Sets the time from receiving an entry of the log to applying it.
   *
   * @param target the instance
   * @param lagMs the delay, in milliseconds
   */
  record ApplyLag(String target, long lagMs) implements FaultMessage {}

  /**
   * Sets whether an instance announces that it is leaving.
   *
   * @param target the instance
   * @param leaving true if it is leaving
   */
  record TargetLeaving(String target, boolean leaving) implements FaultMessage {}

  /**
   * Sets whether the platform's list marks a VM as leaving.
   *
   * @param name the name of the VM
   * @param leaving true if it is leaving
   */
  record VmLeaving(String name, boolean leaving) implements FaultMessage {}

  /**
   * Sets whether the table and the object store refuse all requests.
   *
   * @param down true to refuse them, false to serve them again
   */
  record TableDown(boolean down) implements FaultMessage {}

  /**
   * Sets the delay added to each request to the table and the object store.
   *
   * @param slowMs the delay, in milliseconds
   */
  record TableSlow(long slowMs) implements FaultMessage {}

  /**
   * Drops the replies to the next writes, which still take effect.
   *
   * @param count the number of writes
   */
  record LoseReplies(int count) implements FaultMessage {}

  /**
   * Drops a random share of the instances' answers to status requests.
   *
   * @param perThousand the number of dropped answers per thousand
   * @param seed the seed of the random choice
   */
  record LoseProbes(long perThousand, long seed) implements FaultMessage {}
}
