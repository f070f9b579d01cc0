package org.amaranthmoor.node;

/**
 * Decides whether a node is short of memory, so that it accepts no new calls for a moment.
 *
 * <p>A failed allocation means that the requests in progress need all memory. Without new ones they
 * end and free it; each new one would fail too, and might make others fail. The node counts as
 * short of memory for {@link #MIN_HOLD_NANOS} after an error, which is less than the time between
 * two readiness checks, so that a single error sends no client away. If it recurs soon after the
 * end of that time, the time is doubled, up to {@link #MAX_HOLD_NANOS}. Creates no objects. Safe
 * for use by several threads.
 */
public final class MemoryPressure {

  /** Time for which a node counts as short of memory after a single error, in nanoseconds. */
  public static final long MIN_HOLD_NANOS = 250_000_000L;

  /** Longest time for which a node counts as short of memory after an error, in nanoseconds. */
  public static final long MAX_HOLD_NANOS = 2_000_000_000L;

  /** Time without a shortage after which an error counts as a single one, in nanoseconds. */
  private static final long RECOVERY_NANOS = 5_000_000_000L;

  /** Number of causes of an exception that are searched, as causes may form a cycle. */
  private static final int MAX_CAUSES = 8;

  private boolean errorSeen;
  private long holdNanos;
  private long endNanos;
  private volatile boolean held;
  private long errors;

  /** Creates the state of a node that has seen no error. */
  public MemoryPressure() {}

  /**
   * Records an error. Errors other than a lack of memory are ignored.
   *
   * @param error the error, or an exception that it caused
   * @param nowNanos the current time
   */
  public void onError(Throwable error, long nowNanos) {
    if (isLackOfMemory(error)) {
      onLackOfMemory(nowNanos);
    }
  }

  private synchronized void onLackOfMemory(long nowNanos) {
    errors++;
    long sinceEndNanos = nowNanos - endNanos;
    if (!errorSeen || sinceEndNanos > RECOVERY_NANOS) {
      holdNanos = MIN_HOLD_NANOS;
    } else if (sinceEndNanos >= 0) {
      holdNanos = Math.min(MAX_HOLD_NANOS, 2 * holdNanos);
    }
    errorSeen = true;
    endNanos = nowNanos + holdNanos;
    held = true;
  }

  private static boolean isLackOfMemory(Throwable error) {
    Throwable cause = error;
    for (int i = 0; i < MAX_CAUSES && cause != null; i++) {
      if (cause instanceof OutOfMemoryError) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }

  /**
   * Returns whether the node is short of memory, so that it refuses new calls and is not ready.
   *
   * @param nowNanos the current time
   * @return whether it is short of memory
   */
  public boolean isShort(long nowNanos) {
    return held && isShortUnderLock(nowNanos);
  }

  private synchronized boolean isShortUnderLock(long nowNanos) {
    held = nowNanos - endNanos < 0;
    return held;
  }

  /** {@return the number of errors so far} */
  public synchronized long errors() {
    return errors;
  }
}
