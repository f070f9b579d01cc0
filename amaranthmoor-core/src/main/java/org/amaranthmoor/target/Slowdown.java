package org.amaranthmoor.target;

/**
 * Believes how much longer work takes at this moment because of the target's neighbours.
 *
 * <p>Answers the load pattern of a noisy neighbour, which slows a target several times over for
 * some hundred milliseconds: a fresh report counts fully, and fades into the usual average. Not
 * safe for use by several threads by itself; {@link Admission} guards it.
 */
final class Slowdown {

  /** Time in which a report loses two thirds of its weight: half of a usual noisy phase. */
  private static final double FADE_NANOS = 150_000_000.0;

  /** Weight of a report in the long-run average. */
  private static final double AVERAGE_WEIGHT = 0.02;

  private double reported = 1;
  private double average = 1;
  private long atNanos;
  private boolean known;

  /** Takes in a report: 1 for the usual speed, 4 if work takes four times as long. */
  void onReport(double factor, long nowNanos) {
    reported = factor;
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

  /** {@return the age of the newest report in nanoseconds} */
  long ageNanos(long nowNanos) {
    return known ? nowNanos - atNanos : Long.MAX_VALUE;
  }

  /** {@return the factor of the newest report, 1 before the first} */
  double lastReported() {
    return reported;
  }
}
