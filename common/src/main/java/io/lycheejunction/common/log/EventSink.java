package io.lycheejunction.common.log;

import org.apache.logging.log4j.Level;

/**
 * Receives log events instead of Log4j's core, whose initialization costs more than the whole start
 * of a small program.
 */
public interface EventSink {

  /**
   * Receives an event; must not block.
   *
   * @param level the level
   * @param loggerName the simple name of the class that logs the event
   * @param event the name of the event, in snake case
   * @param keysAndValues alternating field names and values
   */
  void write(Level level, String loggerName, String event, Object... keysAndValues);
}
