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
  private static final int BURST = 5;

  /** Lines a second of one kind of decision on requests, in the long run. */
  private static final double DECISIONS_PER_SECOND = 100;

  /** Lines of one kind of decision on requests that may come at once. */
  private static final int DECISION_BURST = 200;

  private static final String FAILURES = " failures";

  private final Logger logger;
  private final TimeSource time;
  private final Map<String, Budget> budgets = new ConcurrentHashMap<>();
  private final LongAdder allLeftOut = new LongAdder();

  private record Budget(TokenBucket lines, AtomicLong leftOut) {}

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
  public void decision(String event, Supplier<String> details) {
    write(Level.INFO, event, event, DECISIONS_PER_SECOND, DECISION_BURST, details);
  }

  /**
   * Writes a decision on one request that did not end well. These lines have a limit of their own,
   * so that those of requests that end well never take their place.
   *
   * @param event the decision's name
   * @param details key=value pairs
   */
  public void failure(String event, Supplier<String> details) {
    String budget = event + FAILURES;
    write(Level.INFO, event, budget, DECISIONS_PER_SECOND, DECISION_BURST, details);
  }

  /** {@return the number of lines that were left out so far} */
  public long leftOut() {
    return allLeftOut.sum();
  }

  private void write(Level level, String event, Supplier<String> details) {
    write(level, event, event, LINES_PER_SECOND, BURST, details);
  }

  private void write(
      Level level,
      String event,
      String budgetName,
      double rate,
      int burst,
      Supplier<String> details) {
    if (!logger.isLoggable(level)) {
      return;
    }
    Budget budget =
        budgets.computeIfAbsent(
            budgetName,
            name -> new Budget(new TokenBucket(rate, burst, time.nanos()), new AtomicLong()));
    if (!budget.lines().tryAcquire(time.nanos())) {
      budget.leftOut().incrementAndGet();
      allLeftOut.increment();
      return;
    }
    long leftOut = budget.leftOut().getAndSet(0);
    String suffix = leftOut > 0 ? " left-out-before=" + leftOut : "";
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
