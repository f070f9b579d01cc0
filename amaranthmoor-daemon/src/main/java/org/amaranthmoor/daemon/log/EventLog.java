package org.amaranthmoor.daemon.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.TokenBucket;

/**
 * Writes one line of key=value pairs per event.
 *
 * <p>An event that recurs is written at most a few times a second, so that a failure does not flood
 * the log. Safe for use by several threads.
 */
public final class EventLog {

  private static final double LINES_PER_SECOND = 1;
  private static final int BURST = 5;

  private final Logger logger;
  private final TimeSource time;
  private final Map<String, TokenBucket> budgets = new ConcurrentHashMap<>();

  /**
   * Creates a log.
   *
   * @param logger where lines go
   * @param time the time
   */
  public EventLog(Logger logger, TimeSource time) {
    this.logger = logger;
    this.time = time;
  }

  /**
   * Writes an event of normal operation.
   *
   * @param event the event's name
   * @param details key=value pairs
   */
  public void info(String event, Supplier<String> details) {
    write(Level.INFO, event, details);
  }

  /**
   * Writes an event that an operator should look at.
   *
   * @param event the event's name
   * @param details key=value pairs
   */
  public void warn(String event, Supplier<String> details) {
    write(Level.WARNING, event, details);
  }

  private void write(Level level, String event, Supplier<String> details) {
    TokenBucket budget =
        budgets.computeIfAbsent(
            event, name -> new TokenBucket(LINES_PER_SECOND, BURST, time.nanos()));
    if (logger.isLoggable(level) && budget.tryTake(time.nanos())) {
      logger.log(level, () -> "event=" + event + " " + details.get());
    }
  }

  /**
   * Quotes a text for a log line.
   *
   * @param text the text
   * @return the text between quotes, on one line
   */
  public static String quote(String text) {
    String flat = text.replace('"', '\'').replace('\n', ' ').replace('\r', ' ');
    return '"' + flat + '"';
  }
}
