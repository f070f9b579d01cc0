package org.amaranthmoor.target;

import java.util.random.RandomGenerator;

/**
 * Calculates the time after which refused callers should retry, spread at random so that they do
 * not all retry at once.
 *
 * <p>The time grows with the ratio of refused to served requests: the larger of the smoothed ratio
 * of past one-second windows and that of the current window. Not thread-safe; {@link Admission}
 * guards it with its lock.
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

  /** Counts a refusal and returns the time until the retry, in milliseconds. */
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
