package io.lycheejunction.standin.model;

import io.lycheejunction.core.port.PlatformTable.PutOutcome;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.port.Vm;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The platform's contents and faults. Safe for use by several threads. */
public final class PlatformModel {
  private final Map<String, TreeMap<String, String>> tables = new HashMap<>();
  private final TreeMap<String, String> objects = new TreeMap<>();
  private final TreeMap<String, Vm> vms = new TreeMap<>();
  private boolean down;
  private long slowMs;
  private int repliesToLose;

  /**
   * Sets whether the table and the object store refuse everything.
   *
   * @param isDown true if they do
   */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  /**
   * Sets the additional time of each call to the table and the object store.
   *
   * @param durationMs the time, in milliseconds
   */
  public synchronized void setSlowMs(long durationMs) {
    slowMs = durationMs;
  }

  /**
   * Loses the replies to the next writes after their effect.
   *
   * @param count the number of writes
   */
  public synchronized void loseReplies(int count) {
    repliesToLose = count;
  }

  /**
   * Returns whether the table and the object store are down.
   *
   * @return true if they are
   */
  public synchronized boolean isDown() {
    return down;
  }

  /**
   * Returns the additional time of each call.
   *
   * @return the time, in milliseconds
   */
  public synchronized long slowMs() {
    return slowMs;
  }

  /**
   * Returns whether the reply to a write that has just taken effect is lost.
   *
   * @return true if it is
   */
  public synchronized boolean losesReply() {
    if (repliesToLose == 0) {
      return false;
    }
    repliesToLose--;
    return true;
  }

  /**
   * Returns what became of a row that is written only if its key is absent.
   *
   * @param table the name of the table
   * @param row the row
   * @return the outcome
   */
  public synchronized PutOutcome putIfAbsent(String table, Row row) {
    String old =
        tables.computeIfAbsent(table, t -> new TreeMap<>()).putIfAbsent(row.key(), row.value());
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
   * @param afterKey the rows returned have greater keys
   * @param limit the largest number of rows
   * @return the rows, in the order of keys
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
   * @return the names, in order
   */
  public synchronized List<String> objectNames(String prefix) {
    return objects.tailMap(prefix, true).keySet().stream()
        .takeWhile(name -> name.startsWith(prefix))
        .toList();
  }

  /**
   * Lists a VM, or replaces the entry of the same name.
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
        name, (n, vm) -> new Vm(n, vm.kind(), vm.failureDomain(), vm.address(), leaving));
  }

  /**
   * Returns the listed VMs.
   *
   * @return the VMs, in the order of names
   */
  public synchronized List<Vm> vms() {
    return List.copyOf(vms.values());
  }
}
