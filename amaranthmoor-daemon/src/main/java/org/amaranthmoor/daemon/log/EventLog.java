package org.amaranthmoor.daemon.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.TokenBucket;

/**
 * Writes one line of key=value pairs per event.
 *
 * <p>An event that recurs is written at most a few times a second, a decision on requests at most a
 * hundred times, so that neither floods the log; the next line of the event says how many were left
 * out. Safe for use by several threads.
 */
public final class EventLog {

  /** Lines a second of one event, in the long run. */
  private static final double LINES_PER_SECOND = 1;

  /** Lines of one event that may come at once. */
  private static final int BURST_LINES = 5;

  /** Lines a second of one kind of decision on requests, in the long run. */
  private static final double REQUEST_LINES_PER_SECOND = 100;

  /** Lines of one kind of decision on requests that may come at once. */
  private static final int REQUEST_BURST_LINES = 200;

  private static final String FAILURE_SUFFIX = " failures";

  private final Logger logger;
  private final TimeSource time;
  private final Map<String, RateLimit> rateLimits = new ConcurrentHashMap<>();
  private final LongAdder suppressedTotal = new LongAdder();

  private record RateLimit(TokenBucket lines, AtomicLong suppressed) {}

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

  /**
   * Writes a decision on one request that ended well.
   *
   * @param event the decision's name
   * @param details key=value pairs
   */
  public void requestSucceeded(String event, Supplier<String> details) {
    write(Level.INFO, event, event, REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES, details);
  }

  /**
   * Writes a decision on one request that did not end well. These lines have a limit of their own,
   * so that those of requests that end well never take their place.
   *
   * @param event the decision's name
   * @param details key=value pairs
   */
  public void requestFailed(String event, Supplier<String> details) {
    String limit = event + FAILURE_SUFFIX;
    write(Level.INFO, event, limit, REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES, details);
  }

  /** {@return the number of lines that were left out so far} */
  public long suppressedLines() {
    return suppressedTotal.sum();
  }

  private void write(Level level, String event, Supplier<String> details) {
    write(level, event, event, LINES_PER_SECOND, BURST_LINES, details);
  }

  private void write(
      Level level,
      String event,
      String limitName,
      double rate,
      int burst,
      Supplier<String> details) {
    if (!logger.isLoggable(level)) {
      return;
    }
    RateLimit limit =
        rateLimits.computeIfAbsent(
            limitName,
            name -> new RateLimit(new TokenBucket(rate, burst, time.nanos()), new AtomicLong()));
    if (!limit.lines().tryAcquire(time.nanos())) {
      limit.suppressed().incrementAndGet();
      suppressedTotal.increment();
      return;
    }
    long suppressed = limit.suppressed().getAndSet(0);
    String suffix = suppressed > 0 ? " left-out-before=" + suppressed : "";
    logger.log(level, () -> "event=" + event + " " + details.get() + suffix);
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
