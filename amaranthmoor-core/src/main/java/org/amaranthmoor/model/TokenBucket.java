package org.amaranthmoor.model;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits a rate, with bursts up to a stated size.
 *
 * <p>Invariant: over any span of t seconds at most {@code burst + rate * t} tokens are taken. Time
 * is given by the caller in nanoseconds. Safe for use by several threads; lock-free.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final long nanosPerToken;
  private final long burstNanos;
  // Time at which the bucket was, or will be, empty; it never lies more than the burst in the past.
  private final AtomicLong emptyAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSecond the rate; zero or less gives a bucket that never refills
   * @param burst the most tokens the bucket holds; at least one
   * @param nowNanos the current time in nanoseconds
   */
  public TokenBucket(double tokensPerSecond, int burst, long nowNanos) {
    if (burst < 1) {
      throw new IllegalArgumentException("burst must be at least 1, but was: " + burst);
    }
    this.nanosPerToken =
        tokensPerSecond > 0
            ? Math.max(1, (long) (NANOS_PER_SECOND / tokensPerSecond))
            : Long.MAX_VALUE / 4 / burst;
    this.burstNanos = nanosPerToken * burst;
    this.emptyAtNanos = new AtomicLong(nowNanos - burstNanos);
  }

  /**
   * Takes one token if there is one.
   *
   * @param nowNanos the current time in nanoseconds
   * @return whether a token was taken
   */
  public boolean tryAcquire(long nowNanos) {
    while (true) {
      long emptyAt = emptyAtNanos.get();
      long start = Math.max(emptyAt, nowNanos - burstNanos);
      if (start + nanosPerToken > nowNanos) {
        return false;
      }
      if (emptyAtNanos.compareAndSet(emptyAt, start + nanosPerToken)) {
        return true;
      }
    }
  }
}
