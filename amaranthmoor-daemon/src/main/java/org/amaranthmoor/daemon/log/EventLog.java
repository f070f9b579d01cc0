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
 * <p>Lines are limited per event, so that a recurring event does not flood the log: to one a second
 * with short bursts, and to a hundred a second for events of requests. The next line of the event
 * states how many lines were suppressed. Invariant: writing an event never throws, so that code
 * that handles a failure may log before it has released everything; a line that cannot be created,
 * as on a full heap, counts as suppressed. Safe for use by several threads.
 */
public final class EventLog {

  /** Sustained rate of lines of one event. */
  private static final double LINES_PER_SECOND = 1;

  /** Maximum number of lines of one event in a burst. */
  private static final int BURST_LINES = 5;

  /** Sustained rate of lines of one event of requests. */
  private static final double REQUEST_LINES_PER_SECOND = 100;

  /** Maximum number of lines of one event of requests in a burst. */
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
   * @param logger receives the lines
   * @param time the clock
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
   * Writes an event that needs an operator's attention.
   *
   * @param event the event's name
   * @param details key=value pairs
   */
  public void warn(String event, Supplier<String> details) {
    write(Level.WARNING, event, details);
  }

  /**
   * Writes an event of one request that succeeded.
   *
   * @param event the event's name
   * @param details key=value pairs
   */
  public void requestSucceeded(String event, Supplier<String> details) {
    write(Level.INFO, event, event, REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES, details);
  }

  /**
   * Writes an event of one request that failed. Failed requests have a separate limit, so that
   * lines of successful requests never suppress theirs.
   *
   * @param event the event's name
   * @param details key=value pairs
   */
  public void requestFailed(String event, Supplier<String> details) {
    String limit = event + FAILURE_SUFFIX;
    write(Level.INFO, event, limit, REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES, details);
  }

  /** {@return the number of lines suppressed so far} */
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
    try {
      writeWithinLimit(level, event, limitName, rate, burst, details);
    } catch (RuntimeException | Error e) {
      suppressedTotal.increment();
    }
  }

  private void writeWithinLimit(
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
   * Quotes a text as a value of a log line.
   *
   * @param text the text
   * @return the text in quotes, with quotes and line breaks in it replaced
   */
  public static String quote(String text) {
    String flat = text.replace('"', '\'').replace('\n', ' ').replace('\r', ' ');
    return '"' + flat + '"';
  }
}
