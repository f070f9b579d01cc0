package org.amaranthmoor.model;

/**
 * Tells the time.
 *
 * <p>Implementations are safe for use by several threads. Extension point for tests and embedders.
 */
public interface TimeSource {

  /** {@return monotonic time in nanoseconds; only differences mean anything} */
  long nanos();

  /** {@return wall-clock time in milliseconds since the epoch} */
  long wallMillis();

  /** {@return the time of this machine} */
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
