package org.amaranthmoor.caller;

import java.util.EnumMap;
import java.util.Map;
import org.amaranthmoor.model.Priority;

/**
 * Decides which calls this node turns away because its processor cannot keep up with all of them.
 *
 * <p>Answers the load patterns of a node whose processor is too slow for what arrives: one that has
 * just restarted and runs cold code, with all callers coming back at once, or one on a machine that
 * is slow for a while. Without it every call waits for the processor until its objective has
 * passed, and nobody is served in time. How long tasks wait for the processor tells the overload;
 * the share of calls that is taken falls while they wait longer than {@link #OVERLOAD_DELAY_NANOS}
 * and rises again slowly. Calls of high priority are taken first. Calls that a running request
 * needs are not asked about: without them work that was done already is lost. Safe for use by
 * several threads.
 */
public final class LoadShedder {

  /** Mean wait for the processor that tells an overload, in nanoseconds, as published for DAGOR. */
  public static final long OVERLOAD_DELAY_NANOS = 20_000_000L;

  /** Time over which waits are averaged, in nanoseconds. */
  private static final long WINDOW_NANOS = 100_000_000L;

  /** Share that is taken at least, so that the node notices that the overload has ended. */
  private static final double MIN_ADMITTED_SHARE = 0.1;

  /** Factor by which the share falls in a window at most. */
  private static final double MIN_DECREASE_FACTOR = 0.5;

  /** What is added to the share in a window without overload: all calls again in half a second. */
  private static final double INCREASE_PER_WINDOW = 0.2;

  /** Weight that the arrivals of earlier windows keep in each window. */
  private static final double ARRIVALS_DECAY_FACTOR = 0.8;

  private final Map<Priority, Double> arrivals = new EnumMap<>(Priority.class);
  private long windowStartNanos;
  private double delaySumNanos;
  private int delayCount;
  private double admittedShare = 1;

  /**
   * Creates a shedder that takes all calls.
   *
   * @param nowNanos the current time
   */
  public LoadShedder(long nowNanos) {
    this.windowStartNanos = nowNanos;
  }

  /**
   * Takes in how long a task has waited for the processor.
   *
   * @param delayNanos the time from when it could have run until it ran, in nanoseconds
   * @param nowNanos the current time
   */
  public synchronized void onSchedulingDelay(long delayNanos, long nowNanos) {
    closeWindowIfOver(nowNanos);
    delaySumNanos += Math.max(0, delayNanos);
    delayCount++;
  }

  /**
   * Decides on a call that no running request needs.
   *
   * @param priority its priority
   * @param random a random number from 0 to 1
   * @param nowNanos the current time
   * @return whether it is taken
   */
  public synchronized boolean admits(Priority priority, double random, long nowNanos) {
    closeWindowIfOver(nowNanos);
    arrivals.merge(priority, 1.0, Double::sum);
    return admittedShare >= 1 || random < admittedShareOf(priority);
  }

  // What is taken is filled up with the highest priorities first.
  private double admittedShareOf(Priority priority) {
    double allArrivals = 0;
    double higherArrivals = 0;
    for (Map.Entry<Priority, Double> entry : arrivals.entrySet()) {
      allArrivals += entry.getValue();
      higherArrivals += entry.getKey().compareTo(priority) < 0 ? entry.getValue() : 0;
    }
    return Math.clamp(
        (admittedShare * allArrivals - higherArrivals) / arrivals.get(priority), 0, 1);
  }

  private void closeWindowIfOver(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    windowStartNanos = nowNanos;
    double meanDelayNanos = delayCount == 0 ? 0 : delaySumNanos / delayCount;
    admittedShare =
        meanDelayNanos > OVERLOAD_DELAY_NANOS
            ? Math.max(
                MIN_ADMITTED_SHARE,
                admittedShare
                    * Math.max(MIN_DECREASE_FACTOR, OVERLOAD_DELAY_NANOS / meanDelayNanos))
            : Math.min(1, admittedShare + INCREASE_PER_WINDOW);
    delaySumNanos = 0;
    delayCount = 0;
    arrivals.replaceAll((priority, count) -> count * ARRIVALS_DECAY_FACTOR);
  }

  /** {@return the share of calls that is taken, from 0 to 1} */
  public synchronized double admittedShare() {
    return admittedShare;
  }
}
