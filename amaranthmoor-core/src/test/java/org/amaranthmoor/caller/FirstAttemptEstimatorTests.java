package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.amaranthmoor.model.RuleName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FirstAttemptEstimatorTests {

  private static final long MILLI = 1_000_000L;

  /** Differences in transit time, by which equal waits differ. */
  private static final double TRANSIT_MILLIS = 2;

  private static final RuleName PAGES = new RuleName("pages");
  private static final RuleName UPLOADS = new RuleName("uploads");

  private final FirstAttemptEstimator estimator = new FirstAttemptEstimator();

  private void recordWaits(long millis, int count) {
    for (int i = 0; i < count; i++) {
      estimator.millisSinceFirstAttempt(PAGES, millis - i % 2, 0);
    }
  }

  @Test
  void aShortWaitIsAFirstAttemptWhileEverythingIsServed() {
    recordWaits(1_200, 50);

    assertEquals(0, estimator.millisSinceFirstAttempt(PAGES, 800, 0));
  }

  @Test
  void aRuleWithFewRequestsHasNoTypicalWait() {
    recordWaits(1_200, 2);
    estimator.onNotServed(PAGES, 0);

    assertEquals(0, estimator.millisSinceFirstAttempt(PAGES, 800, 0));
  }

  @Nested
  class AfterRequestsWereNotServed {

    {
      recordWaits(1_200, 50);
      estimator.onNotServed(PAGES, 0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 800, 300})
    void aRetryHasUsedUpTheDifferenceToTheTypicalWait(long waitMillis) {
      assertEquals(
          1_199 - waitMillis, estimator.millisSinceFirstAttempt(PAGES, waitMillis, 400 * MILLI));
    }

    @Test
    void aFirstAttemptHasUsedUpNothing() {
      assertEquals(0, estimator.millisSinceFirstAttempt(PAGES, 1_200, 400 * MILLI));
      assertEquals(0, estimator.millisSinceFirstAttempt(PAGES, 1_199, 400 * MILLI));
    }

    @Test
    void requestsOfOtherRulesAreFirstAttempts() {
      for (int i = 0; i < 20; i++) {
        estimator.millisSinceFirstAttempt(UPLOADS, 3_000, 0);
      }

      assertEquals(0, estimator.millisSinceFirstAttempt(UPLOADS, 2_000, 400 * MILLI));
    }

    @Test
    void aShortWaitIsAFirstAttemptOnceTheTypicalWaitHasPassed() {
      assertEquals(0, estimator.millisSinceFirstAttempt(PAGES, 800, 1_300 * MILLI));
    }

    @Test
    void manyRetriesDoNotChangeTheTypicalWait() {
      for (int i = 0; i < 2_000; i++) {
        estimator.millisSinceFirstAttempt(PAGES, i % 3 == 0 ? 1_200 : 400 + i % 700, 0);
      }

      double elapsedMillis = estimator.millisSinceFirstAttempt(PAGES, 800, 100 * MILLI);
      assertEquals(400, elapsedMillis, TRANSIT_MILLIS);
    }

    @Test
    void aSingleLongWaitIsNotTypical() {
      estimator.millisSinceFirstAttempt(PAGES, 5_000, 0);

      assertEquals(0, estimator.millisSinceFirstAttempt(PAGES, 1_200, 100 * MILLI));
    }
  }
}
