package org.amaranthmoor.model;

/**
 * Source of monotonic and wall-clock time, which tests and embedders may replace.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface TimeSource {

  /** {@return monotonic time in nanoseconds; only differences are meaningful} */
  long nanos();

  /** {@return wall-clock time in milliseconds since the epoch} */
  long wallMillis();

  /** {@return the clocks of the operating system} */
  static TimeSource system() {
    return new TimeSource() {
      @Override
      public long nanos() {
        return System.nanoTime();
      }

      @Override
      public long wallMillis() {
        return System.currentTimeMillis();
      }
    };
  }
}
