package io.lycheejunction.standin.model;

import io.lycheejunction.core.port.PlatformTable.PutOutcome;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.port.Vm;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** An in-memory platform: table, object store and VM list, with their faults. Thread-safe. */
public final class PlatformModel {
  private final Map<String, TreeMap<String, String>> tables = new HashMap<>();
  private final TreeMap<String, String> objects = new TreeMap<>();
  private final TreeMap<String, Vm> vms = new TreeMap<>();
  private boolean down;
  private long slowMs;
  private int repliesToLose;

  /**
   * Sets whether the table and the object store reject all calls.
   *
   * @param isDown true to reject them
   */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  /**
   * Sets the delay that is added to each call to the table and the object store.
   *
   * @param durationMs the delay, in milliseconds
   */
  public synchronized void setSlowMs(long durationMs) {
    slowMs = durationMs;
  }

  /**
   * Drops the replies to the next writes, after the writes took effect.
   *
   * @param count the number of writes
   */
  public synchronized void loseReplies(int count) {
    repliesToLose = count;
  }

  /**
   * Returns whether the table and the object store are down.
   *
   * @return true if all calls are rejected
   */
  public synchronized boolean isDown() {
    return down;
  }

  /**
   * Returns the delay that is added to each call to the table and the object store.
   *
   * @return the delay, in milliseconds
   */
  public synchronized long slowMs() {
    return slowMs;
  }

  /**
   * Returns whether to drop the reply to the write that just took effect, and decrements the number
   * of replies to drop.
   *
   * @return true if the reply is dropped
   */
  public synchronized boolean dropsNextReply() {
    if (repliesToLose == 0) {
      return false;
    }
    repliesToLose--;
    return true;
  }

  /**
   * Writes a row if its key is absent.
   *
   * @param table the name of the table
   * @param row the row
   * @return whether the row was written, or the value that exists
   */
  public synchronized PutOutcome putIfAbsent(String table, Row row) {
    String old =
        tables.computeIfAbsent(table, name -> new TreeMap<>()).putIfAbsent(row.key(), row.value());
    return old == null ? new PutOutcome.Written() : new PutOutcome.Exists(old);
  }

  /**
   * Returns a row.
   *
   * @param table the name of the table
   * @param key the key
   * @return the row, or empty
   */
  public synchronized Optional<Row> row(String table, String key) {
    return Optional.ofNullable(tables.getOrDefault(table, new TreeMap<>()).get(key))
        .map(value -> new Row(key, value));
  }

  /**
   * Returns the rows after a key.
   *
   * @param table the name of the table
   * @param afterKey the exclusive lower bound of the keys
   * @param limit the maximum number of rows
   * @return the rows, in key order
   */
  public synchronized List<Row> rows(String table, String afterKey, int limit) {
    return tables.getOrDefault(table, new TreeMap<>()).tailMap(afterKey, false).entrySet().stream()
        .limit(limit)
        .map(entry -> new Row(entry.getKey(), entry.getValue()))
        .toList();
  }

  /**
   * Returns the content of an object.
   *
   * @param name the name
   * @return the content, or empty
   */
  public synchronized Optional<String> object(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  /**
   * Writes or replaces an object.
   *
   * @param name the name
   * @param content the content
   */
  public synchronized void putObject(String name, String content) {
    objects.put(name, content);
  }

  /**
   * Returns the names of objects that start with a prefix.
   *
   * @param prefix the prefix
   * @return the names, in ascending order
   */
  public synchronized List<String> objectNames(String prefix) {
    return objects.tailMap(prefix, true).keySet().stream()
        .takeWhile(name -> name.startsWith(prefix))
        .toList();
  }

  /**
   * Adds a VM to the list, or replaces the entry of the same name.
   *
   * @param vm the VM
   */
  public synchronized void putVm(Vm vm) {
    vms.put(vm.name(), vm);
  }

  /**
   * Removes a VM from the list.
   *
   * @param name the name of the VM
   */
  public synchronized void removeVm(String name) {
    vms.remove(name);
  }

  /**
   * Sets whether the list marks a VM as leaving.
   *
   * @param name the name of the VM
   * @param leaving true if it is leaving
   */
  public synchronized void setLeaving(String name, boolean leaving) {
    vms.computeIfPresent(
        name, (key, vm) -> new Vm(key, vm.kind(), vm.failureDomain(), vm.address(), leaving));
  }

  /**
   * Returns the listed VMs.
   *
   * @return the VMs, ordered by name
   */
  public synchronized List<Vm> vms() {
    return List.copyOf(vms.values());
  }
}
