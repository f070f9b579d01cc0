package org.amaranthmoor.node;

import java.time.Duration;
import org.amaranthmoor.model.NodeName;

/**
 * Decides how long a read of the configuration may wait at its source for a new record.
 *
 * <p>If the response to a waiting read is lost, nothing but the end of the wait reveals it, and a
 * fault of the source can lose the responses of all readers at once. So the designated readers of
 * all availability zones take turns: one of them ends its read and starts a new one each time a
 * {@linkplain #TURNS_PER_BOUND part} of the propagation bound has passed, and announces what it
 * finds to the others. The load on the source does not grow with the number of readers. A record
 * ends the reads of all readers together, and the length of the next wait spaces them out again.
 *
 * <p>Invariant: a read after a failure does not wait, since it may get no response either.
 *
 * <p>Safe for use by several threads.
 */
public final class ReadWaitPolicy {

  /**
   * Number of turns within the propagation bound: one to end a read whose response was lost, one to
   * read again, and one to pass on what was read.
   */
  static final int TURNS_PER_BOUND = 3;

  /** Longest wait of a read, however many readers take turns. */
  static final Duration MAX_WAIT = Duration.ofSeconds(20);

  private enum Phase {
    /** The source has not answered since a failure. */
    CONFIRMING,
    /** All readers have been answered together, and wait for different times next. */
    SPACING,
    /** The readers end their reads in turn. */
    ROTATING
  }

  private final NodeName self;
  private final Duration turn;
  private Phase phase = Phase.CONFIRMING;
  private int readers = 1;
  private int position;

  /**
   * Creates the policy of a node that knows no other reader.
   *
   * @param self this node
   * @param propagationBound time within which a change must reach every node
   */
  public ReadWaitPolicy(NodeName self, Duration propagationBound) {
    this.self = self;
    this.turn = propagationBound.dividedBy(TURNS_PER_BOUND);
  }

  /**
   * Sets the designated readers. A node that is not among them has its turn after the last one.
   *
   * @param current the readers
   */
  public synchronized void onReaders(ConfigReaders current) {
    int index = current.inOrder().indexOf(self);
    readers = Math.max(1, current.inOrder().size());
    position = index < 0 ? readers : index;
  }

  /** Records that a read returned new records. */
  public synchronized void onRecords() {
    phase = Phase.SPACING;
  }

  /** Records that a read ended without a new record. */
  public synchronized void onNoRecords() {
    phase = phase == Phase.CONFIRMING ? Phase.SPACING : Phase.ROTATING;
  }

  /** Records that a read failed, or that it was given up. */
  public synchronized void onFailure() {
    phase = Phase.CONFIRMING;
  }

  /** {@return how long the next read may wait for a record} */
  public synchronized Duration nextWait() {
    Duration wait =
        switch (phase) {
          case CONFIRMING -> Duration.ZERO;
          case SPACING -> turn.multipliedBy(position + 1L);
          case ROTATING -> turn.multipliedBy(readers);
        };
    return wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT;
  }
}
