package org.amaranthmoor.node;

import org.amaranthmoor.model.SourceEpoch;

/**
 * Decides what this node owes a source that has come back from an older copy of itself.
 *
 * <p>Answers the load pattern of hundreds of nodes that learn of a new epoch within the same moment
 * and each have a record to write again: the writes are spread over a time that grows with the
 * nodes. Invariants: the newest epoch never falls, whoever tells it; a record counts as kept only
 * in the epoch in which the source acknowledged it, so that a write acknowledged just before the
 * source went back is written once more. Safe for use by several threads.
 */
public final class SourceEpochTracker {

  /**
   * Time for each node over which records are written again, in nanoseconds: together half of the
   * writes that the smallest known source takes in a second.
   */
  static final long REWRITE_SPREAD_NANOS_PER_NODE = 5_000_000L;

  private SourceEpoch newest = SourceEpoch.UNKNOWN;
  private SourceEpoch first = SourceEpoch.UNKNOWN;
  private SourceEpoch recordEpoch = SourceEpoch.UNKNOWN;

  /** Creates a history of a source that has told nothing. */
  public SourceEpochTracker() {}

  /**
   * Takes in an epoch that the source, or a node that heard it there, has told.
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
   * Takes in an epoch that was in force at some time, such as that of an old record.
   *
   * @param epoch the epoch
   */
  public synchronized void onPastEpoch(SourceEpoch epoch) {
    if (epoch.known() && (!first.known() || epoch.compareTo(first) < 0)) {
      first = epoch;
    }
  }

  /**
   * Takes in that the source has kept this node's record.
   *
   * @param epoch the epoch of the acknowledgement, or of the record as it was read
   */
  public synchronized void onRecordStored(SourceEpoch epoch) {
    onEpochSeen(epoch);
    if (epoch.compareTo(recordEpoch) > 0) {
      recordEpoch = epoch;
    }
  }

  /** {@return whether the source may have lost this node's record} */
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

  /** {@return whether the source has ever come back from an older copy, as far as is known} */
  public synchronized boolean hasRolledBack() {
    return first.compareTo(newest) < 0;
  }

  /**
   * Returns how long this node waits before it writes its record again.
   *
   * @param nodes nodes that are known, this one included
   * @param randomFraction a random number from 0 to 1
   * @return the time in nanoseconds
   */
  public static long rewriteDelayNanos(int nodes, double randomFraction) {
    return (long) (randomFraction * nodes * REWRITE_SPREAD_NANOS_PER_NODE);
  }
}
