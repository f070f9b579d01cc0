package org.amaranthmoor.report;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts the calls of one service in minutes, over the last six hours.
 *
 * <p>Invariant: a minute's counts are reset before the first call of that minute is counted. Safe
 * for use by several threads; a call counted while its minute is reset may be lost from the report.
 */
public final class CallCounts {

  /** Minutes that are kept. */
  public static final int MINUTES = 360;

  private static final int FIELDS = 4;
  private static final int MINUTE = 0;
  private static final int TOTAL = 1;
  private static final int FAILED = 2;
  private static final int SLOW = 3;
  private static final long MILLIS_PER_MINUTE = 60_000;

  private final AtomicLongArray cells = new AtomicLongArray(MINUTES * FIELDS);

  /** Creates counts that are all zero. */
  public CallCounts() {}

  /**
   * Counts over one window.
   *
   * @param minutes length of the window in minutes
   * @param total calls
   * @param failed calls without a good answer
   * @param slow calls answered later than the latency objective
   */
  public record Window(int minutes, long total, long failed, long slow) {
    /**
     * Adds two windows of one length.
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
   * @param wallMillis the current wall-clock time
   */
  public void count(boolean failed, boolean slow, long wallMillis) {
    long minute = wallMillis / MILLIS_PER_MINUTE;
    int base = base(minute);
    if (cells.get(base + MINUTE) != minute) {
      reset(base, minute);
    }
    cells.incrementAndGet(base + TOTAL);
    if (failed) {
      cells.incrementAndGet(base + FAILED);
    }
    if (slow) {
      cells.incrementAndGet(base + SLOW);
    }
  }

  private synchronized void reset(int base, long minute) {
    if (cells.get(base + MINUTE) == minute) {
      return;
    }
    cells.set(base + TOTAL, 0);
    cells.set(base + FAILED, 0);
    cells.set(base + SLOW, 0);
    cells.set(base + MINUTE, minute);
  }

  /**
   * Sums the last minutes.
   *
   * @param minutes length of the window, at most {@link #MINUTES}
   * @param wallMillis the current wall-clock time
   * @return the sums
   */
  public Window window(int minutes, long wallMillis) {
    long now = wallMillis / MILLIS_PER_MINUTE;
    Window sum = new Window(minutes, 0, 0, 0);
    for (long minute = now - minutes + 1; minute <= now; minute++) {
      int base = base(minute);
      if (cells.get(base + MINUTE) == minute) {
        sum =
            sum.plus(
                new Window(
                    minutes,
                    cells.get(base + TOTAL),
                    cells.get(base + FAILED),
                    cells.get(base + SLOW)));
      }
    }
    return sum;
  }

  private static int base(long minute) {
    return (int) Math.floorMod(minute, (long) MINUTES) * FIELDS;
  }
}
