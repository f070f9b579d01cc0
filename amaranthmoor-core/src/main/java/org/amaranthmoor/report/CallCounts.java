package org.amaranthmoor.report;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts the calls of one service per minute, over the last six hours.
 *
 * <p>A ring buffer. Invariant: the counts of a minute are reset before the first call of that
 * minute is counted. Safe for use by several threads; a call that is counted while its minute is
 * being reset may be missing from the report.
 */
public final class CallCounts {

  /** Number of minutes that are kept. */
  public static final int RETAINED_MINUTES = 360;

  private static final int FIELDS_PER_MINUTE = 4;
  private static final int MINUTE_FIELD = 0;
  private static final int TOTAL_FIELD = 1;
  private static final int FAILED_FIELD = 2;
  private static final int SLOW_FIELD = 3;
  private static final long MILLIS_PER_MINUTE = 60_000;

  private final AtomicLongArray counts = new AtomicLongArray(RETAINED_MINUTES * FIELDS_PER_MINUTE);

  /** Creates counts that are all zero. */
  public CallCounts() {}

  /**
   * Counts of calls over one window.
   *
   * @param minutes length of the window in minutes
   * @param total number of calls
   * @param failed number of calls without a good answer
   * @param slow number of calls answered later than the latency objective
   */
  public record Window(int minutes, long total, long failed, long slow) {
    /**
     * Adds the counts of another window of the same length.
     *
     * @param other the other window
     * @return the sum
     */
    public Window plus(Window other) {
      return new Window(minutes, total + other.total, failed + other.failed, slow + other.slow);
    }
  }

  /**
   * Counts a call.
   *
   * @param failed whether it had no good answer
   * @param slow whether it was answered later than the latency objective
   * @param wallMillis the current wall-clock time, in milliseconds since the epoch
   */
  public void count(boolean failed, boolean slow, long wallMillis) {
    long minute = wallMillis / MILLIS_PER_MINUTE;
    int firstIndex = firstIndex(minute);
    if (counts.get(firstIndex + MINUTE_FIELD) != minute) {
      reset(firstIndex, minute);
    }
    counts.incrementAndGet(firstIndex + TOTAL_FIELD);
    if (failed) {
      counts.incrementAndGet(firstIndex + FAILED_FIELD);
    }
    if (slow) {
      counts.incrementAndGet(firstIndex + SLOW_FIELD);
    }
  }

  private synchronized void reset(int firstIndex, long minute) {
    if (counts.get(firstIndex + MINUTE_FIELD) == minute) {
      return;
    }
    counts.set(firstIndex + TOTAL_FIELD, 0);
    counts.set(firstIndex + FAILED_FIELD, 0);
    counts.set(firstIndex + SLOW_FIELD, 0);
    counts.set(firstIndex + MINUTE_FIELD, minute);
  }

  /**
   * Returns the counts over the last minutes, including the current one.
   *
   * @param minutes length of the window in minutes, at most {@link #RETAINED_MINUTES}
   * @param wallMillis the current wall-clock time, in milliseconds since the epoch
   * @return the sums
   */
  public Window window(int minutes, long wallMillis) {
    long now = wallMillis / MILLIS_PER_MINUTE;
    Window sum = new Window(minutes, 0, 0, 0);
    for (long minute = now - minutes + 1; minute <= now; minute++) {
      int firstIndex = firstIndex(minute);
      if (counts.get(firstIndex + MINUTE_FIELD) == minute) {
        sum =
            sum.plus(
                new Window(
                    minutes,
                    counts.get(firstIndex + TOTAL_FIELD),
                    counts.get(firstIndex + FAILED_FIELD),
                    counts.get(firstIndex + SLOW_FIELD)));
      }
    }
    return sum;
  }

  private static int firstIndex(long minute) {
    return (int) Math.floorMod(minute, (long) RETAINED_MINUTES) * FIELDS_PER_MINUTE;
  }
}
