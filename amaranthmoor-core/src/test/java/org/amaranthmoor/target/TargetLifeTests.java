package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.TargetLife.Change;
import org.amaranthmoor.target.TargetLife.Report;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetLifeTests {

  private static final long SECOND = 1_000_000_000L;
  private static final TargetRun FIRST = new TargetRun("i-1", 100);
  private static final TargetRun SECOND_RUN = new TargetRun("i-2", 200);

  private final TargetLife life = new TargetLife(true);

  private static Report report(TargetRun run, long sequence, boolean leaving) {
    ServedService serving = new ServedService(new ServiceName("lending"), 6);
    return new Report(run, sequence, serving, "127.0.0.1", 8000, leaving, 0);
  }

  private boolean ready(TargetRun run, long nowNanos) {
    return life.ready(nowNanos).map(Report::run).filter(run::equals).isPresent();
  }

  @Test
  void aFirstReportMakesTheTargetReady() {
    assertEquals(Change.READY, life.onReport(report(FIRST, 1, false), 0));

    assertTrue(ready(FIRST, 0));
  }

  @Test
  void aTargetThatReportsNoMoreIsNotReady() {
    life.onReport(report(FIRST, 1, false), 0);

    assertFalse(ready(FIRST, TargetLife.LAPSE_NANOS));
  }

  /** As after a restart of this node, which then hears a leave that names no start. */
  @Nested
  class WhenARunThatIsNotKnownHasLeftByItsId {

    {
      life.onGone("i-1");
    }

    @Test
    void aSingleLateReportDoesNotBringItBack() {
      life.onReport(report(FIRST, 12, false), 2 * SECOND);

      assertFalse(ready(FIRST, 2 * SECOND));
    }

    @Test
    void aRunThatGoesOnReportingUnderTheIdIsReady() {
      life.onReport(report(FIRST, 1, false), 2 * SECOND);
      life.onReport(report(FIRST, 2, false), 2 * SECOND + TargetLife.PROOF_NANOS);

      assertTrue(ready(FIRST, 2 * SECOND + TargetLife.PROOF_NANOS));
    }
  }

  @Nested
  class WhenARunHasLeft {

    {
      life.onReport(report(FIRST, 1, false), 0);
      life.onReport(report(FIRST, 3, true), SECOND);
    }

    @Test
    void aLateReportOfItChangesNothing() {
      assertEquals(Change.STALE, life.onReport(report(FIRST, 2, false), 2 * SECOND));

      assertFalse(ready(FIRST, 2 * SECOND));
    }

    @Test
    void evenAYoungerReportOfItChangesNothing() {
      life.onReport(report(FIRST, 4, false), 2 * SECOND);

      assertFalse(ready(FIRST, 2 * SECOND));
    }

    @Test
    void aRepeatedLeaveIsToldAsOne() {
      assertEquals(Change.LEAVING, life.onReport(report(FIRST, 4, true), 2 * SECOND));
    }

    @Test
    void theNextRunIsReady() {
      assertEquals(Change.READY, life.onReport(report(SECOND_RUN, 1, false), 2 * SECOND));

      assertTrue(ready(SECOND_RUN, 2 * SECOND));
    }

    @Test
    void aRunUnderTheSameIdIsReadyAndItsSequenceStartsAnew() {
      TargetRun again = new TargetRun("i-1", 300);

      assertEquals(Change.READY, life.onReport(report(again, 1, false), 2 * SECOND));
      assertTrue(ready(again, 2 * SECOND));
    }
  }

  @Test
  void aReportOfAnEarlierRunBringsNobodyBack() {
    life.onReport(report(SECOND_RUN, 1, false), 0);

    assertEquals(Change.STALE, life.onReport(report(FIRST, 9, false), SECOND));
    assertTrue(ready(SECOND_RUN, SECOND));
  }

  @Test
  void aLeaveOfAnEarlierRunLeavesALaterOneUnderTheSameIdReady() {
    TargetRun later = new TargetRun("i-1", 300);
    life.onReport(report(later, 1, false), 0);

    life.onGone(FIRST);

    assertTrue(ready(later, SECOND));
  }

  @Test
  void aRunWhoseAddressAnotherTargetHasIsNotReady() {
    life.onReport(report(FIRST, 1, false), 0);

    life.onGone(FIRST);

    assertFalse(ready(FIRST, 0));
  }

  @Nested
  class WhenEarlierAcknowledgementsAreNotKnown {

    private final TargetLife unsure = new TargetLife(false);

    @Test
    void aSingleReportIsNotEnough() {
      unsure.onReport(report(FIRST, 7, false), 0);

      assertTrue(unsure.ready(SECOND).isEmpty());
    }

    @Test
    void reportsOverTwoPeriodsAreEnough() {
      unsure.onReport(report(FIRST, 7, false), 0);
      unsure.onReport(report(FIRST, 8, false), TargetLife.PROOF_NANOS);

      assertTrue(unsure.ready(TargetLife.PROOF_NANOS).isPresent());
    }

    @Test
    void theHistoryDecidesAsSoonAsItIsKnown() {
      unsure.onReport(report(FIRST, 7, false), 0);
      unsure.onGone(FIRST);
      unsure.onHistoryKnown();

      assertTrue(unsure.ready(SECOND).isEmpty());
    }

    @Test
    void aRunThatTheHistoryDoesNotNameIsReadyAtOnce() {
      unsure.onReport(report(FIRST, 7, false), 0);
      unsure.onHistoryKnown();

      assertTrue(unsure.ready(SECOND).isPresent());
    }
  }
}
