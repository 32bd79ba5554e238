package io.lycheejunction.common.log;

import org.apache.logging.log4j.Level;

/** Takes events in place of Log4j's core, whose start costs more than that of a small program. */
public interface EventSink {

  /**
   * Takes an event; must not block.
   *
   * @param level the level
   * @param owner the short name of the class that logs
   * @param event the name of the event, in snake case
   * @param keysAndValues names and values in turn
   */
  void write(Level level, String owner, String event, Object... keysAndValues);
}
