package org.amaranthmoor.daemon.exchange;

import org.amaranthmoor.model.TimeSource;

/**
 * A point in time until which something may be waited for.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param atNanos the point in time, in monotonic nanoseconds of this process
 * @param time the clock
 */
public record Deadline(long atNanos, TimeSource time) {

  /** {@return the time that is left, in nanoseconds; negative once the deadline has passed} */
  public long remainingNanos() {
    return atNanos - time.nanos();
  }

  /** {@return whether the deadline has passed} */
  public boolean hasPassed() {
    return remainingNanos() <= 0;
  }
}
