package org.amaranthmoor.connection;

/**
 * A request from its first byte until its response has been sent, with the memory that it holds.
 *
 * <p>Invariants: a request that is being served is not closed for another one; what it acquired is
 * released by {@link #end}, which may be called again. Safe for use by several threads.
 */
public final class UnfinishedRequest {

  /**
   * Age from which a request can be closed for another one, in nanoseconds. A client inside its
   * limits usually sends all of a request within this time.
   */
  private static final long GRACE_NANOS = 1_000_000_000L;

  /** Time in which the weight of bytes that were transferred halves, in nanoseconds. */
  private static final double HALF_LIFE_NANOS = 1e9;

  /** Weighted number of bytes below which a request makes too little progress. */
  private static final double MIN_RECENT_BYTES = 1_024;

  /** What a request waits for. */
  private enum Phase {
    /** Bytes of the client. */
    ARRIVING,
    /** A target. */
    SERVED,
    /** The client, which reads the response. */
    RESPONDING
  }

  private final UnfinishedRequests account;
  private final Runnable close;
  private Phase phase = Phase.ARRIVING;
  private long phaseStartNanos;
  private long progressNanos;
  private double recentBytes;
  private long held;
  private long heldOfShare;
  private boolean closed;
  private boolean ended;

  UnfinishedRequest(UnfinishedRequests account, Runnable close, long nowNanos) {
    this.account = account;
    this.close = close;
    this.phaseStartNanos = nowNanos;
    this.progressNanos = nowNanos;
  }

  /**
   * Acquires memory. If there is no room, others are asked to end, so that it can be tried again.
   *
   * @param bytes the number of bytes
   * @param nowNanos the current time
   * @return whether it was acquired
   */
  public boolean tryAcquire(long bytes, long nowNanos) {
    if (!account.tryAcquire(this, bytes, nowNanos)) {
      return false;
    }
    synchronized (this) {
      held += bytes;
      heldOfShare += bytes;
    }
    return true;
  }

  /**
   * Records that bytes arrived or were sent.
   *
   * @param count the number of bytes
   * @param nowNanos the current time
   */
  public synchronized void onProgress(int count, long nowNanos) {
    recentBytes = recentBytes(nowNanos) + count;
    progressNanos = nowNanos;
  }

  /**
   * Records that the request is about to be served, after which it is not closed for another one.
   *
   * @param bodyComplete whether its whole body has arrived, so that it no longer counts as
   *     unfinished
   * @return false if it was closed before
   */
  public boolean onServed(boolean bodyComplete) {
    long released = 0;
    synchronized (this) {
      if (closed) {
        return false;
      }
      phase = Phase.SERVED;
      if (bodyComplete) {
        released = heldOfShare;
        heldOfShare = 0;
      }
    }
    account.releaseShare(released);
    return true;
  }

  /**
   * Records that the response is being sent.
   *
   * @param nowNanos the current time
   */
  public synchronized void onResponse(long nowNanos) {
    phase = Phase.RESPONDING;
    phaseStartNanos = nowNanos;
    progressNanos = nowNanos;
    recentBytes = 0;
  }

  /** {@return whether a response has been begun, so that no other can be sent} */
  public synchronized boolean hasResponse() {
    return phase == Phase.RESPONDING;
  }

  /**
   * Returns whether the client makes so little progress that the request can be closed for another
   * one.
   *
   * @param nowNanos the current time
   * @return whether it can be closed
   */
  public synchronized boolean isStalled(long nowNanos) {
    return phase != Phase.SERVED
        && !closed
        && !ended
        && nowNanos - phaseStartNanos >= GRACE_NANOS
        && recentBytes(nowNanos) < MIN_RECENT_BYTES;
  }

  /**
   * Returns whether the client has long not read its response.
   *
   * @param nowNanos the current time
   * @param limitNanos the longest time without progress, in nanoseconds
   * @return whether it has not read for longer
   */
  public synchronized boolean isUnread(long nowNanos, long limitNanos) {
    return phase == Phase.RESPONDING && nowNanos - progressNanos > limitNanos;
  }

  /**
   * Returns a measure of the progress that the client makes.
   *
   * @param nowNanos the current time
   * @return the number of bytes, those that were transferred earlier counting less
   */
  public synchronized double recentBytes(long nowNanos) {
    double halfLives = Math.max(0, nowNanos - progressNanos) / HALF_LIFE_NANOS;
    return recentBytes * Math.pow(0.5, halfLives);
  }

  synchronized long heldBytes() {
    return held;
  }

  /**
   * Closes the connection of the request to make room for another one, unless it is being served.
   *
   * @return whether it was closed by this call
   */
  public boolean close() {
    synchronized (this) {
      if (closed || ended || phase == Phase.SERVED) {
        return false;
      }
      closed = true;
    }
    account.onClosed();
    close.run();
    return true;
  }

  /** {@return whether the request was closed to make room for another one} */
  public synchronized boolean closed() {
    return closed;
  }

  /** Releases what the request holds. */
  public void end() {
    long bytes;
    long shareBytes;
    synchronized (this) {
      ended = true;
      bytes = held;
      shareBytes = heldOfShare;
      held = 0;
      heldOfShare = 0;
    }
    account.end(this, bytes, shareBytes);
  }
}
