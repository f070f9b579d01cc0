package org.amaranthmoor.model;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that limits a rate and allows bursts.
 *
 * <p>Invariant: over any span of t seconds at most {@code burst + rate * t} tokens are acquired.
 * The caller passes the time in nanoseconds.
 *
 * <p>Safe for use by several threads; lock-free.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final long nanosPerToken;
  private final long burstNanos;
  // Time at which the bucket counts as empty. It gains a token for each nanosPerToken since then,
  // up
  // to the burst.
  private final AtomicLong emptyAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSecond the rate; with zero or less the bucket never refills
   * @param burst the largest number of tokens that the bucket holds; at least 1
   * @param nowNanos the current time in nanoseconds
   * @throws IllegalArgumentException if the burst is less than 1
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
   * Acquires a token if one is available.
   *
   * @param nowNanos the current time in nanoseconds
   * @return whether a token was acquired
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
