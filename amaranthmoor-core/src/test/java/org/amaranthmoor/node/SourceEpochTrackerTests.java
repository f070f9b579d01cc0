package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.amaranthmoor.model.SourceEpoch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when a node writes its record again after the source was restored from an older copy. */
class SourceEpochTrackerTests {

  private final SourceEpochTracker tracker = new SourceEpochTracker();

  private static SourceEpoch epoch(long number) {
    return new SourceEpoch(number);
  }

  @Test
  void aSourceWithoutAnEpochNeedsNoRewrite() {
    tracker.onEpochSeen(SourceEpoch.UNKNOWN);
    tracker.onRecordStored(SourceEpoch.UNKNOWN);

    assertFalse(tracker.recordMayBeLost());
    assertFalse(tracker.hasRolledBack());
  }

  @Test
  void theNewestEpochNeverFalls() {
    tracker.onEpochSeen(epoch(5));
    tracker.onEpochSeen(epoch(4));

    assertEquals(epoch(5), tracker.newest());
  }

  @Nested
  class WhenTheRecordIsStored {

    {
      tracker.onRecordStored(epoch(3));
    }

    @Test
    void noRewriteIsNeededUntilANewerEpochIsSeen() {
      assertFalse(tracker.recordMayBeLost());

      tracker.onEpochSeen(epoch(4));

      assertTrue(tracker.recordMayBeLost());
    }

    @Test
    void anAcknowledgementOfAnEarlierEpochDoesNotCount() {
      tracker.onEpochSeen(epoch(4));

      tracker.onRecordStored(epoch(3));

      assertTrue(tracker.recordMayBeLost());
    }

    @Test
    void anAcknowledgementMayBeTheFirstMessageOfAnEpoch() {
      tracker.onRecordStored(epoch(4));

      assertFalse(tracker.recordMayBeLost());
      assertTrue(tracker.hasRolledBack());
    }

    @Test
    void oneWriteCoversTwoRollbacksInARow() {
      tracker.onEpochSeen(epoch(4));
      tracker.onEpochSeen(epoch(5));

      tracker.onRecordStored(epoch(5));

      assertFalse(tracker.recordMayBeLost());
    }
  }

  @Test
  void anOldRecordShowsARollbackBeforeThisProcessStarted() {
    tracker.onEpochSeen(epoch(7));
    assertFalse(tracker.hasRolledBack());

    tracker.onPastEpoch(epoch(6));

    assertTrue(tracker.hasRolledBack());
    assertEquals(epoch(7), tracker.newest());
  }

  /** 300 nodes learn of a new epoch at the same moment, and each writes its record again. */
  @Test
  void rewritesOfManyNodesStayBelowTheWriteRateOfTheSource() {
    int nodes = 300;
    int maxWritesPerTenth = 0;
    SplittableRandom random = new SplittableRandom(5);
    int[] writesPerTenth = new int[40];
    for (int i = 0; i < nodes; i++) {
      long delayNanos = SourceEpochTracker.rewriteDelayNanos(nodes, random.nextDouble());
      writesPerTenth[(int) (delayNanos / 100_000_000L)]++;
    }
    for (int count : writesPerTenth) {
      maxWritesPerTenth = Math.max(maxWritesPerTenth, count);
    }

    // The smallest source known from users' sites accepts 400 writes per second.
    assertTrue(maxWritesPerTenth <= 40, "writes in a tenth of a second: " + maxWritesPerTenth);
  }
}
