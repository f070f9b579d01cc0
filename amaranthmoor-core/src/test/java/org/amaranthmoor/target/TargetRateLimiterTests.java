package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TargetRateLimiterTests {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;

  private final TargetRateLimiter limiter = new TargetRateLimiter(0);

  private int startsUntil(long endNanos) {
    int starts = 0;
    for (long now = 0; now < endNanos; now += MILLI) {
      if (limiter.allowsStart(now)) {
        limiter.onStart(now);
        starts++;
      }
    }
    return starts;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1, 1.9, 2.4, 7, 50, 400})
  void startsDoNotExceedTheRate(double perSecond) {
    limiter.onRateStated(perSecond, 0);

    int starts = startsUntil(20 * SECOND);

    assertTrue(starts <= 20 * perSecond + Math.max(1, perSecond * TargetRateLimiter.BURST_SECONDS));
    assertTrue(starts >= Math.floor(20 * perSecond) - 1, starts + " at a rate of " + perSecond);
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.9, 50})
  void unusedTimeAllowsOnlyABoundedBurst(double perSecond) {
    limiter.onRateStated(perSecond, 0);

    int atOnce = 0;
    while (limiter.allowsStart(60 * SECOND)) {
      limiter.onStart(60 * SECOND);
      atOnce++;
    }

    assertTrue(atOnce <= 1 + perSecond * TargetRateLimiter.BURST_SECONDS, atOnce + " at once");
  }

  @Test
  void aRateOfZeroStillAllowsTheMinimumRate() {
    limiter.onRateStated(0, 0);

    assertEquals(5, startsUntil(20 * SECOND + MILLI));
  }

  @Test
  void anAnswerToARequestSentBeforeTheRateWasStatedDoesNotEndIt() {
    limiter.onRateStated(2, 100 * MILLI);

    assertFalse(limiter.onNoRateStated(50 * MILLI));
    assertTrue(limiter.isLimiting(0));
    assertTrue(limiter.onNoRateStated(150 * MILLI));
    assertFalse(limiter.isLimiting(0));
  }

  @Test
  void statingTheRateAgainKeepsItInForceForRequestsSentBefore() {
    limiter.onRateStated(2, 100 * MILLI);
    limiter.onRateStated(2, 300 * MILLI);

    assertFalse(limiter.onNoRateStated(200 * MILLI));
  }

  @Test
  void statingTheRateAgainDoesNotDelayTheNextStart() {
    limiter.onRateStated(2, 0);
    for (long now = 0; now < 500 * MILLI; now += 50 * MILLI) {
      limiter.onRateStated(2, now);
    }

    assertTrue(limiter.allowsStart(500 * MILLI));
  }

  /** Rates before and after, and the time of the next start if the last one was at 10 s. */
  @ParameterizedTest
  @CsvSource({"2, 4, 10250", "4, 2, 10500"})
  void aChangedRateCountsFromTheLastStart(double before, double after, long nextMillis) {
    limiter.onRateStated(before, 0);
    limiter.onStart(10 * SECOND);
    limiter.onRateStated(after, 10 * SECOND + MILLI);

    assertFalse(limiter.allowsStart((nextMillis - 1) * MILLI));
    assertTrue(limiter.allowsStart(nextMillis * MILLI));
    assertEquals(OptionalDouble.of(after), limiter.perSecond());
  }

  @Test
  void requestsAheadDelayTheStart() {
    limiter.onRateStated(2, 0);

    assertEquals(500 * MILLI, limiter.waitNanos(0, 0));
    assertEquals(1_400 * MILLI, limiter.waitNanos(2, 100 * MILLI));
  }

  @Nested
  class WhenAnEarlierProcessReceivedTheRate {

    @Test
    void itAppliesUntilTheFirstAnswer() {
      assertTrue(limiter.onRememberedRate(2, 10 * SECOND));
      assertFalse(limiter.allowsStart(10 * SECOND + 499 * MILLI));
      assertTrue(limiter.allowsStart(10 * SECOND + 500 * MILLI));

      assertTrue(limiter.onNoRateStated(9 * SECOND));
      assertFalse(limiter.onRememberedRate(2, 11 * SECOND));
      assertTrue(limiter.allowsStart(11 * SECOND));
    }

    @Test
    void theLowestRateAppliesUntilTheFirstAnswer() {
      assertTrue(limiter.onRememberedRate(3, 0));
      assertTrue(limiter.onRememberedRate(2, 0));
      assertFalse(limiter.onRememberedRate(3, 0));
      assertEquals(OptionalDouble.of(2), limiter.perSecond());

      limiter.onRateStated(3, MILLI);
      assertFalse(limiter.onRememberedRate(2, MILLI));
      assertEquals(OptionalDouble.of(3), limiter.perSecond());
    }

    @Test
    void theEndOfARateIsReportedButNothingIfNoneWasEverStated() {
      assertEquals(Optional.empty(), limiter.lastStated());
      limiter.onRateStated(3, 0);
      assertEquals(Optional.of(new TargetNotice.Limit.Rate(3)), limiter.lastStated());
      limiter.onNoRateStated(MILLI);
      assertEquals(Optional.of(new TargetNotice.Limit.Unstated()), limiter.lastStated());
      limiter.reset();
      assertEquals(Optional.empty(), limiter.lastStated());
    }
  }
}
