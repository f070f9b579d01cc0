package org.amaranthmoor.target;

import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back, so that they do not all return at once.
 *
 * <p>The horizon grows with the refusals since the last second compared to what was served. Not
 * safe for use by several threads by itself; {@link Admission} guards it.
 */
final class RefusalAdvice {

  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final long MIN_MILLIS = 200;
  private static final long MAX_MILLIS = 30_000;
  private static final double WEIGHT = 0.5;

  private final RandomGenerator random;
  private long windowStartNanos;
  private long refused;
  private long served;
  private double ratio;

  RefusalAdvice(RandomGenerator random, long nowNanos) {
    this.random = random;
    this.windowStartNanos = nowNanos;
  }

  void onServed(long nowNanos) {
    roll(nowNanos);
    served++;
  }

  /** Counts a refusal and returns when to come back, in milliseconds. */
  long onRefused(long queueDrainNanos, long nowNanos) {
    roll(nowNanos);
    refused++;
    double current = (double) refused / Math.max(1, served);
    double seconds = Math.max(ratio, Math.min(current, MAX_MILLIS));
    double horizonMillis = queueDrainNanos / 1e6 + seconds * 1_000;
    double spread = horizonMillis * (0.5 + random.nextDouble());
    return Math.clamp((long) spread, MIN_MILLIS, MAX_MILLIS);
  }

  private void roll(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    double last = (double) refused / Math.max(1, served);
    ratio += WEIGHT * (last - ratio);
    refused = 0;
    served = 0;
    windowStartNanos = nowNanos;
  }
}
