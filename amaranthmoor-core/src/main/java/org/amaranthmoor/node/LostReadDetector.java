package org.amaranthmoor.node;

import org.amaranthmoor.model.SourceEpoch;

/**
 * Detects that the response to a waiting read of the configuration was lost: another node has read
 * records that follow the position of the read, which would have ended it.
 *
 * <p>Invariant: a read counts as lost only if it has been in progress for {@link #GRACE_NANOS}
 * while such records were known. Safe for use by several threads.
 */
public final class LostReadDetector {

  /** Time that a response may take once its records exist, in nanoseconds. */
  static final long GRACE_NANOS = 500_000_000L;

  private boolean reading;
  private SourceEpoch readEpoch = SourceEpoch.UNKNOWN;
  private long readOffset;
  private long readNanos;
  private SourceEpoch peerEpoch = SourceEpoch.UNKNOWN;
  private long peerOffset = -1;
  private long peerNanos;

  /** Creates a detector without a read in progress. */
  public LostReadDetector() {}

  /**
   * Records the start of a read.
   *
   * @param epoch the epoch of the source
   * @param offset the offset from which on records are read
   * @param nowNanos the current time
   */
  public synchronized void onReadStarted(SourceEpoch epoch, long offset, long nowNanos) {
    reading = true;
    readEpoch = epoch;
    readOffset = offset;
    readNanos = nowNanos;
  }

  /** Records the end of the read. */
  public synchronized void onReadEnded() {
    reading = false;
  }

  /**
   * Records the position up to which another node has read the source.
   *
   * @param epoch the epoch of the source
   * @param offset the offset after the last record that it has read
   * @param nowNanos the current time
   */
  public synchronized void onPeerPosition(SourceEpoch epoch, long offset, long nowNanos) {
    int epochs = epoch.compareTo(peerEpoch);
    if (epochs > 0 || (epochs == 0 && offset > peerOffset)) {
      // A later record does not extend the time that the response to an earlier one may take.
      boolean knownBefore = epochs == 0 && isBehindPeer();
      peerNanos = knownBefore ? peerNanos : nowNanos;
      peerEpoch = epoch;
      peerOffset = offset;
    }
  }

  private boolean isBehindPeer() {
    return reading && readEpoch.equals(peerEpoch) && peerOffset > readOffset;
  }

  /**
   * Returns whether the read in progress should have returned.
   *
   * @param nowNanos the current time
   * @return whether its response counts as lost
   */
  public synchronized boolean isLost(long nowNanos) {
    return isBehindPeer()
        && nowNanos - peerNanos >= GRACE_NANOS
        && nowNanos - readNanos >= GRACE_NANOS;
  }
}
