package io.lycheejunction.common.log;

import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Logs structured events, each as one line of key=value pairs.
 *
 * <p>Events go to Log4j unless the program has installed another sink.
 */
public final class EventLog {
  private static volatile Optional<EventSink> sink = Optional.empty();

  private final Class<?> owner;
  private volatile Logger logger;

  private EventLog(Class<?> owner) {
    this.owner = owner;
  }

  /**
   * Sends all later events of the program to a sink instead of Log4j.
   *
   * <p>The sink receives events of level INFO and above only.
   *
   * @param replacement the sink
   */
  public static void setSink(EventSink replacement) {
    sink = Optional.of(replacement);
  }

  /**
   * Returns the log of a class.
   *
   * @param owner the class whose name is logged with each event
   * @return the log
   */
  public static EventLog of(Class<?> owner) {
    return new EventLog(owner);
  }

  /**
   * Logs an event at level INFO: normal operation, of interest to an operator.
   *
   * @param event the name of the event, in snake case
   * @param keysAndValues alternating field names and values
   */
  public void info(String event, Object... keysAndValues) {
    write(Level.INFO, event, keysAndValues);
  }

  /**
   * Logs an event at level WARN: needs the attention of an operator.
   *
   * @param event the name of the event, in snake case
   * @param keysAndValues alternating field names and values
   */
  public void warn(String event, Object... keysAndValues) {
    write(Level.WARN, event, keysAndValues);
  }

  /**
   * Logs an event at level DEBUG: details for diagnosis.
   *
   * @param event the name of the event, in snake case
   * @param keysAndValues alternating field names and values
   */
  public void debug(String event, Object... keysAndValues) {
    write(Level.DEBUG, event, keysAndValues);
  }

  private void write(Level level, String event, Object... keysAndValues) {
    if (sink.isPresent()) {
      if (level.isMoreSpecificThan(Level.INFO)) {
        sink.get().write(level, owner.getSimpleName(), event, keysAndValues);
      }
      return;
    }
    if (!logger().isEnabled(level)) {
      return;
    }
    StringMapMessage message = new StringMapMessage();
    message.with("event", event);
    for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
      message.with(String.valueOf(keysAndValues[i]), String.valueOf(keysAndValues[i + 1]));
    }
    logger().log(level, message);
  }

  private Logger logger() {
    if (logger == null) {
      logger = LogManager.getLogger(owner);
    }
    return logger;
  }
}
