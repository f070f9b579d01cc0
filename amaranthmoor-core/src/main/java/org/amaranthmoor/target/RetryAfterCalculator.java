package org.amaranthmoor.target;

import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back, so that they do not all return at once.
 *
 * <p>The horizon grows with the refusals since the last second compared to what was served. Not
 * safe for use by several threads by itself; {@link Admission} guards it.
 */
final class RetryAfterCalculator {

  private static final long RATIO_WINDOW_NANOS = 1_000_000_000L;
  private static final long MIN_RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 30_000;
  private static final double LAST_WINDOW_WEIGHT = 0.5;

  private final RandomGenerator random;
  private long windowStartNanos;
  private long refused;
  private long served;
  private double averageRatio;

  RetryAfterCalculator(RandomGenerator random, long nowNanos) {
    this.random = random;
    this.windowStartNanos = nowNanos;
  }

  void onServed(long nowNanos) {
    rollWindow(nowNanos);
    served++;
  }

  /** Counts a refusal and returns when to come back, in milliseconds. */
  long onRefused(long queueDrainNanos, long nowNanos) {
    rollWindow(nowNanos);
    refused++;
    double currentRatio = (double) refused / Math.max(1, served);
    double seconds = Math.max(averageRatio, Math.min(currentRatio, MAX_RETRY_MILLIS));
    double horizonMillis = queueDrainNanos / 1e6 + seconds * 1_000;
    double spread = horizonMillis * (0.5 + random.nextDouble());
    return Math.clamp((long) spread, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
  }

  private void rollWindow(long nowNanos) {
    if (nowNanos - windowStartNanos < RATIO_WINDOW_NANOS) {
      return;
    }
    double lastRatio = (double) refused / Math.max(1, served);
    averageRatio += LAST_WINDOW_WEIGHT * (lastRatio - averageRatio);
    refused = 0;
    served = 0;
    windowStartNanos = nowNanos;
  }
}
