package org.amaranthmoor.node;

import org.amaranthmoor.model.SourceEpoch;

/**
 * Tracks the epochs of the source and decides whether this node has to write its record again after
 * the source was restored from an older copy.
 *
 * <p>After such a rollback hundreds of nodes learn of the new epoch at the same moment, and each
 * has a record to write again; {@link #rewriteDelayNanos} spreads these writes over a time that
 * grows with the number of nodes.
 *
 * <p>Invariants: the newest epoch never falls, whichever node reports it. A record counts as stored
 * only in the epoch in which the source acknowledged it, so that a record acknowledged just before
 * a rollback is written again.
 *
 * <p>Safe for use by several threads.
 */
public final class SourceEpochTracker {

  /**
   * Time that each node adds to the span over which records are rewritten, in nanoseconds. All
   * nodes together use half of the writes per second that the smallest known source accepts.
   */
  static final long REWRITE_SPREAD_NANOS_PER_NODE = 5_000_000L;

  private SourceEpoch newest = SourceEpoch.UNKNOWN;
  private SourceEpoch first = SourceEpoch.UNKNOWN;
  private SourceEpoch recordEpoch = SourceEpoch.UNKNOWN;

  /** Creates a tracker that knows no epoch yet. */
  public SourceEpochTracker() {}

  /**
   * Records an epoch that the source, or a node that read it there, reports as current.
   *
   * @param epoch the epoch
   */
  public synchronized void onEpochSeen(SourceEpoch epoch) {
    if (epoch.compareTo(newest) > 0) {
      newest = epoch;
    }
    onPastEpoch(epoch);
  }

  /**
   * Records an epoch that was in force at some time, such as the epoch of an old record.
   *
   * @param epoch the epoch
   */
  public synchronized void onPastEpoch(SourceEpoch epoch) {
    if (epoch.known() && (!first.known() || epoch.compareTo(first) < 0)) {
      first = epoch;
    }
  }

  /**
   * Records that the source has stored this node's record.
   *
   * @param epoch the epoch of the acknowledgement, or of the record as it was read
   */
  public synchronized void onRecordStored(SourceEpoch epoch) {
    onEpochSeen(epoch);
    if (epoch.compareTo(recordEpoch) > 0) {
      recordEpoch = epoch;
    }
  }

  /** {@return whether a rollback may have lost this node's record, so that it must be rewritten} */
  public synchronized boolean recordMayBeLost() {
    return recordEpoch.compareTo(newest) < 0;
  }

  /** {@return the newest epoch that is known} */
  public synchronized SourceEpoch newest() {
    return newest;
  }

  /** {@return the lowest epoch that is known to have been in force} */
  public synchronized SourceEpoch first() {
    return first;
  }

  /** {@return whether the source is known to have rolled back to an older copy at some time} */
  public synchronized boolean hasRolledBack() {
    return first.compareTo(newest) < 0;
  }

  /**
   * Returns how long this node waits before it writes its record again.
   *
   * @param nodes number of nodes known, this one included
   * @param randomFraction a random number from 0 to 1
   * @return the time in nanoseconds
   */
  public static long rewriteDelayNanos(int nodes, double randomFraction) {
    return (long) (randomFraction * nodes * REWRITE_SPREAD_NANOS_PER_NODE);
  }
}
