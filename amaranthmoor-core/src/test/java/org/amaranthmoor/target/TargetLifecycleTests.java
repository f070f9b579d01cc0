package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.TargetLifecycle.Change;
import org.amaranthmoor.target.TargetLifecycle.Report;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetLifecycleTests {

  private static final long SECOND = 1_000_000_000L;
  private static final TargetRun FIRST = new TargetRun("i-1", 100);
  private static final TargetRun SECOND_RUN = new TargetRun("i-2", 200);

  private final TargetLifecycle lifecycle = new TargetLifecycle(true);

  private static Report report(TargetRun run, long sequence, boolean leaving) {
    ServedService serving = new ServedService(new ServiceName("lending"), 6);
    return new Report(run, sequence, serving, "127.0.0.1", 8000, leaving, 0);
  }

  private boolean ready(TargetRun run, long nowNanos) {
    return lifecycle.ready(nowNanos).map(Report::run).filter(run::equals).isPresent();
  }

  @Test
  void aFirstReportMakesTheTargetReady() {
    assertEquals(Change.READY, lifecycle.onReport(report(FIRST, 1, false), 0));

    assertTrue(ready(FIRST, 0));
  }

  @Test
  void aTargetThatStoppedReportingIsNotReady() {
    lifecycle.onReport(report(FIRST, 1, false), 0);

    assertFalse(ready(FIRST, TargetLifecycle.REPORT_TIMEOUT_NANOS));
  }

  /** As after a restart of this node, which then receives a leave without a start time. */
  @Nested
  class WhenAnUnknownRunHasLeftByItsId {

    {
      lifecycle.onGone("i-1");
    }

    @Test
    void aSingleLateReportDoesNotBringItBack() {
      lifecycle.onReport(report(FIRST, 12, false), 2 * SECOND);

      assertFalse(ready(FIRST, 2 * SECOND));
    }

    @Test
    void aRunThatKeepsReportingUnderTheIdIsReady() {
      lifecycle.onReport(report(FIRST, 1, false), 2 * SECOND);
      lifecycle.onReport(
          report(FIRST, 2, false), 2 * SECOND + TargetLifecycle.MIN_REPORT_SPAN_NANOS);

      assertTrue(ready(FIRST, 2 * SECOND + TargetLifecycle.MIN_REPORT_SPAN_NANOS));
    }
  }

  @Nested
  class WhenARunHasLeft {

    {
      lifecycle.onReport(report(FIRST, 1, false), 0);
      lifecycle.onReport(report(FIRST, 3, true), SECOND);
    }

    @Test
    void aLateReportOfItChangesNothing() {
      assertEquals(Change.STALE, lifecycle.onReport(report(FIRST, 2, false), 2 * SECOND));

      assertFalse(ready(FIRST, 2 * SECOND));
    }

    @Test
    void aNewerReportOfItDoesNotMakeItReady() {
      lifecycle.onReport(report(FIRST, 4, false), 2 * SECOND);

      assertFalse(ready(FIRST, 2 * SECOND));
    }

    @Test
    void aRepeatedLeaveIsReportedAsLeaving() {
      assertEquals(Change.LEAVING, lifecycle.onReport(report(FIRST, 4, true), 2 * SECOND));
    }

    @Test
    void theNextRunIsReady() {
      assertEquals(Change.READY, lifecycle.onReport(report(SECOND_RUN, 1, false), 2 * SECOND));

      assertTrue(ready(SECOND_RUN, 2 * SECOND));
    }

    @Test
    void aRunUnderTheSameIdIsReadyAndItsSequenceStartsAnew() {
      TargetRun again = new TargetRun("i-1", 300);

      assertEquals(Change.READY, lifecycle.onReport(report(again, 1, false), 2 * SECOND));
      assertTrue(ready(again, 2 * SECOND));
    }
  }

  @Test
  void aReportOfAnEarlierRunIsStale() {
    lifecycle.onReport(report(SECOND_RUN, 1, false), 0);

    assertEquals(Change.STALE, lifecycle.onReport(report(FIRST, 9, false), SECOND));
    assertTrue(ready(SECOND_RUN, SECOND));
  }

  @Test
  void aLeaveOfAnEarlierRunDoesNotAffectALaterOneWithTheSameId() {
    TargetRun later = new TargetRun("i-1", 300);
    lifecycle.onReport(report(later, 1, false), 0);

    lifecycle.onGone(FIRST);

    assertTrue(ready(later, SECOND));
  }

  @Test
  void aRunThatLostItsAddressToAnotherTargetIsNotReady() {
    lifecycle.onReport(report(FIRST, 1, false), 0);

    lifecycle.onGone(FIRST);

    assertFalse(ready(FIRST, 0));
  }

  @Nested
  class WhenEarlierAcknowledgementsAreNotKnown {

    private final TargetLifecycle withoutHistory = new TargetLifecycle(false);

    @Test
    void aSingleReportIsNotEnough() {
      withoutHistory.onReport(report(FIRST, 7, false), 0);

      assertTrue(withoutHistory.ready(SECOND).isEmpty());
    }

    @Test
    void reportsOverTheMinimumSpanAreEnough() {
      withoutHistory.onReport(report(FIRST, 7, false), 0);
      withoutHistory.onReport(report(FIRST, 8, false), TargetLifecycle.MIN_REPORT_SPAN_NANOS);

      assertTrue(withoutHistory.ready(TargetLifecycle.MIN_REPORT_SPAN_NANOS).isPresent());
    }

    @Test
    void aRunThatTheHistoryNamesIsNotReady() {
      withoutHistory.onReport(report(FIRST, 7, false), 0);
      withoutHistory.onGone(FIRST);
      withoutHistory.onHistoryKnown();

      assertTrue(withoutHistory.ready(SECOND).isEmpty());
    }

    @Test
    void aRunThatTheHistoryDoesNotNameIsReadyImmediately() {
      withoutHistory.onReport(report(FIRST, 7, false), 0);
      withoutHistory.onHistoryKnown();

      assertTrue(withoutHistory.ready(SECOND).isPresent());
    }
  }
}
