package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amaranthmoor.model.SourceEpoch;
import org.junit.jupiter.api.Test;

// A read whose response was lost was waited for although another node had its records.
class LostReadDetectorTests {

  private static final SourceEpoch EPOCH = new SourceEpoch(1);
  private static final long GRACE = LostReadDetector.GRACE_NANOS;

  private final LostReadDetector detector = new LostReadDetector();

  @Test
  void aReadIsLostIfAPeerHasHadLaterRecordsForLongerThanAResponseTakes() {
    detector.onReadStarted(EPOCH, 4, 0);
    detector.onPeerPosition(EPOCH, 5, 100);

    assertFalse(detector.isLost(99 + GRACE));
    assertTrue(detector.isLost(100 + GRACE));
  }

  @Test
  void furtherRecordsDoNotExtendTheTimeOfTheResponse() {
    detector.onReadStarted(EPOCH, 4, 0);
    detector.onPeerPosition(EPOCH, 5, 100);
    detector.onPeerPosition(EPOCH, 6, GRACE);

    assertTrue(detector.isLost(100 + GRACE));
  }

  @Test
  void aReadThatStartsAfterThePeerHadTheRecordsGetsTheSameTime() {
    detector.onPeerPosition(EPOCH, 5, 0);
    detector.onReadStarted(EPOCH, 4, GRACE);

    assertFalse(detector.isLost(2 * GRACE - 1));
    assertTrue(detector.isLost(2 * GRACE));
  }

  @Test
  void aReadAtThePositionOfItsPeersIsNotLost() {
    detector.onReadStarted(EPOCH, 5, 0);
    detector.onPeerPosition(EPOCH, 5, 0);

    assertFalse(detector.isLost(100 * GRACE));
  }

  @Test
  void offsetsOfAnotherEpochAreNotCompared() {
    detector.onReadStarted(new SourceEpoch(2), 4, 0);
    detector.onPeerPosition(EPOCH, 5, 0);

    assertFalse(detector.isLost(100 * GRACE));
  }

  @Test
  void aReadThatHasEndedIsNotLost() {
    detector.onReadStarted(EPOCH, 4, 0);
    detector.onPeerPosition(EPOCH, 5, 0);
    detector.onReadEnded();

    assertFalse(detector.isLost(100 * GRACE));
  }
}
