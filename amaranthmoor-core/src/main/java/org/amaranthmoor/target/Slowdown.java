package org.amaranthmoor.target;

/**
 * Believes how much longer work takes at this moment because of the target's neighbours.
 *
 * <p>Answers the load pattern of a noisy neighbour, which slows a target several times over for
 * some hundred milliseconds: a fresh report counts fully, and fades into the usual average. Not
 * safe for use by several threads by itself; {@link Admission} guards it.
 */
final class Slowdown {

  /** Age up to which a report is taken to hold still: a small part of a usual phase. */
  private static final long FRESH_NANOS = 50_000_000L;

  /** Factor from which work that can wait is better started later. */
  private static final double SLOW_FACTOR = 1.5;

  /** Time that a slow phase is expected to last still: half of a usual noisy phase. */
  private static final double REST_OF_PHASE_NANOS = 150_000_000.0;

  /** Time in which a report loses two thirds of its weight: half of a usual noisy phase. */
  private static final double FADE_NANOS = 150_000_000.0;

  /** Weight of a report in the long-run average. */
  private static final double AVERAGE_WEIGHT = 0.02;

  private double reported = 1;
  private double average = 1;
  private double worst = 1;
  private long atNanos;
  private boolean known;

  /** Takes in a report: 1 for the usual speed, 4 if work takes four times as long. */
  void onReport(double factor, long nowNanos) {
    reported = factor;
    worst = Math.max(factor, worst + AVERAGE_WEIGHT * (factor - worst));
    average += AVERAGE_WEIGHT * (factor - average);
    atNanos = nowNanos;
    known = true;
  }

  /** {@return the factor by which work that starts now is expected to take longer, at least 1} */
  double expected(long nowNanos) {
    if (!known) {
      return 1;
    }
    double weight = Math.exp(-(nowNanos - atNanos) / FADE_NANOS);
    return Math.max(1, average + weight * (reported - average));
  }

  /** {@return whether the newest report is so young that it holds still} */
  boolean fresh(long nowNanos) {
    return known && nowNanos - atNanos <= FRESH_NANOS;
  }

  /** {@return whether the target tells its speed at all} */
  boolean told() {
    return known;
  }

  /** {@return whether work is slow at this moment, as far as is known for sure} */
  boolean slow(long nowNanos) {
    return fresh(nowNanos) && reported >= SLOW_FACTOR;
  }

  /** {@return the time until work of a length ends if it starts at once, in nanoseconds} */
  double atOnceNanos(double workNanos, long nowNanos) {
    return workNanos * expected(nowNanos);
  }

  /** {@return the time until work of a length ends if a slow phase is waited out first} */
  double laterNanos(double workNanos) {
    return REST_OF_PHASE_NANOS + workNanos;
  }

  /** {@return whether work of a length would take longer than the time left in a slow phase} */
  boolean matters(double workNanos, double leftNanos) {
    return workNanos * Math.max(worst, SLOW_FACTOR) > leftNanos;
  }

  /** {@return the age of the newest report in nanoseconds} */
  long ageNanos(long nowNanos) {
    return known ? nowNanos - atNanos : Long.MAX_VALUE;
  }

  /** {@return the factor of the newest report, 1 before the first} */
  double lastReported() {
    return reported;
  }
}
