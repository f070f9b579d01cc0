package org.amaranthmoor.caller;

/**
 * Estimates a quantile of recent durations in constant memory.
 *
 * <p>Each sample above the estimate raises it by a fixed factor and each other one lowers it, in
 * the ratio at which both balance at the quantile (frugal streaming). The estimate therefore
 * follows a change of load within some dozen samples. Not safe for use by several threads.
 */
final class QuantileEstimator {

  /** Relative change of the estimate for a sample: a trade between noise and speed. */
  private static final double STEP = 0.1;

  private final double raiseFactor;
  private final double lowerFactor;
  private double estimateNanos;
  private int samples;

  /**
   * Creates an estimator without samples.
   *
   * @param quantile the quantile, greater than 0 and less than 1
   */
  QuantileEstimator(double quantile) {
    if (!(quantile > 0 && quantile < 1)) {
      throw new IllegalArgumentException("quantile must be between 0 and 1, but was: " + quantile);
    }
    this.raiseFactor = Math.exp(STEP * quantile);
    this.lowerFactor = Math.exp(-STEP * (1 - quantile));
  }

  /**
   * Adds a sample.
   *
   * @param nanos the duration in nanoseconds, at least 1
   */
  void add(long nanos) {
    if (samples == 0) {
      estimateNanos = nanos;
    } else {
      estimateNanos *= nanos > estimateNanos ? raiseFactor : lowerFactor;
    }
    samples = Math.min(Integer.MAX_VALUE - 1, samples) + 1;
  }

  /** {@return the number of samples so far} */
  int samples() {
    return samples;
  }

  /** {@return the estimate in nanoseconds; 0 without samples} */
  long nanos() {
    return (long) estimateNanos;
  }
}
