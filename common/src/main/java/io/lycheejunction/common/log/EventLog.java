package io.lycheejunction.common.log;

import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes events as one line of key=value pairs each.
 *
 * <p>Events go to Log4j, or to the sink that the program has installed before.
 */
public final class EventLog {
  private static volatile Optional<EventSink> sink = Optional.empty();

  private final Class<?> owner;
  private volatile Logger logger;

  private EventLog(Class<?> owner) {
    this.owner = owner;
  }

  /**
   * Sends all later events of the program to a sink.
   *
   * @param replacement the sink
   */
  public static void install(EventSink replacement) {
    sink = Optional.of(replacement);
  }

  /**
   * Returns the log of a class.
   *
   * @param owner the class that logs
   * @return the log
   */
  public static EventLog of(Class<?> owner) {
    return new EventLog(owner);
  }

  /**
   * Writes an event that an operator may want to see.
   *
   * @param event the name of the event, in snake case
   * @param keysAndValues names and values in turn
   */
  public void info(String event, Object... keysAndValues) {
    write(Level.INFO, event, keysAndValues);
  }

  /**
   * Writes an event that an operator should look at.
   *
   * @param event the name of the event, in snake case
   * @param keysAndValues names and values in turn
   */
  public void warn(String event, Object... keysAndValues) {
    write(Level.WARN, event, keysAndValues);
  }

  /**
   * Writes an event that helps to find the cause of another.
   *
   * @param event the name of the event, in snake case
   * @param keysAndValues names and values in turn
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
