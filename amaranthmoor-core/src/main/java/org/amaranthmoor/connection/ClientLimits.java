package org.amaranthmoor.connection;

/**
 * What a client may send, and how long it may take.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxHeaderBytes largest size of the head of a request, in bytes
 * @param maxBodyBytes largest size of the body of a request, in bytes
 * @param headerTimeoutNanos time within which a head must arrive, in nanoseconds
 * @param idleTimeoutNanos time for which a connection may be idle, in nanoseconds
 */
public record ClientLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {

  /**
   * The limits of a configuration that states none. With the quarter by which they are outlived, an
   * idle connection is closed after 120 s and a head given up after 300 s.
   */
  public static final ClientLimits DEFAULT =
      new ClientLimits(256 * 1024, Long.MAX_VALUE, 240_000_000_000L, 96_000_000_000L);

  /**
   * Share of a time limit by which a connection outlives it, so that a client whose clock runs
   * slowly, or a node that was paused, does not meet the limit early.
   */
  private static final int GRACE_DIVISOR = 4;

  /** Checks that no limit forbids every request. */
  public ClientLimits {
    if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutNanos < 1 || idleTimeoutNanos < 1) {
      throw new IllegalArgumentException(
          "a limit allows no request: "
              + maxHeaderBytes
              + ", "
              + maxBodyBytes
              + ", "
              + headerTimeoutNanos
              + ", "
              + idleTimeoutNanos);
    }
  }

  /** {@return the time after which the node gives up a head, in nanoseconds} */
  public long enforcedHeaderNanos() {
    return headerTimeoutNanos + headerTimeoutNanos / GRACE_DIVISOR;
  }

  /** {@return the time after which the node closes an idle connection, in nanoseconds} */
  public long enforcedIdleNanos() {
    return idleTimeoutNanos + idleTimeoutNanos / GRACE_DIVISOR;
  }
}
