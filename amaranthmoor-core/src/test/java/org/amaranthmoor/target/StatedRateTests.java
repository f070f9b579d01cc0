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

class StatedRateTests {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;

  private final StatedRate rate = new StatedRate();

  private int startsUntil(long endNanos) {
    int starts = 0;
    for (long now = 0; now < endNanos; now += MILLI) {
      if (rate.mayStart(now)) {
        rate.onStart(now);
        starts++;
      }
    }
    return starts;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1, 1.9, 2.4, 7, 50, 400})
  void noMoreThanTheRateStarts(double perSecond) {
    rate.onNamed(perSecond, 0);

    int starts = startsUntil(20 * SECOND);

    assertTrue(starts <= 20 * perSecond + Math.max(1, perSecond * StatedRate.SAVED_SECONDS));
    assertTrue(starts >= Math.floor(20 * perSecond) - 1, starts + " at a rate of " + perSecond);
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.9, 50})
  void timeThatWasNotUsedIsSavedForAShortWhileOnly(double perSecond) {
    rate.onNamed(perSecond, 0);

    int atOnce = 0;
    while (rate.mayStart(60 * SECOND)) {
      rate.onStart(60 * SECOND);
      atOnce++;
    }

    assertTrue(atOnce <= 1 + perSecond * StatedRate.SAVED_SECONDS, atOnce + " at once");
  }

  @Test
  void aRateOfZeroIsTriedNowAndThenAsOnlyAnAnswerShowsItsEnd() {
    rate.onNamed(0, 0);

    assertEquals(5, startsUntil(20 * SECOND + MILLI));
  }

  @Test
  void anAnswerToARequestThatWasSentBeforeTheRateWasNamedDoesNotEndIt() {
    rate.onNamed(2, 100 * MILLI);

    assertFalse(rate.onUnnamed(50 * MILLI));
    assertTrue(rate.limits());
    assertTrue(rate.onUnnamed(150 * MILLI));
    assertFalse(rate.limits());
  }

  @Test
  void namingTheRateAgainKeepsItInForceForRequestsThatWereSentMeanwhile() {
    rate.onNamed(2, 100 * MILLI);
    rate.onNamed(2, 300 * MILLI);

    assertFalse(rate.onUnnamed(200 * MILLI));
  }

  @Test
  void namingTheRateAgainDoesNotPutTheNextStartOff() {
    rate.onNamed(2, 0);
    for (long now = 0; now < 500 * MILLI; now += 50 * MILLI) {
      rate.onNamed(2, now);
    }

    assertTrue(rate.mayStart(500 * MILLI));
  }

  /** Rates before and after, and when the next request starts if the last did at 10 s. */
  @ParameterizedTest
  @CsvSource({"2, 4, 10250", "4, 2, 10500"})
  void aChangedRateCountsFromTheLastStart(double before, double after, long nextMillis) {
    rate.onNamed(before, 0);
    rate.onStart(10 * SECOND);
    rate.onNamed(after, 10 * SECOND + MILLI);

    assertFalse(rate.mayStart((nextMillis - 1) * MILLI));
    assertTrue(rate.mayStart(nextMillis * MILLI));
    assertEquals(OptionalDouble.of(after), rate.perSecond());
  }

  @Test
  void whoWaitsBehindOthersStartsAfterThem() {
    rate.onNamed(2, 0);

    assertEquals(500 * MILLI, rate.waitNanos(0, 0));
    assertEquals(1_400 * MILLI, rate.waitNanos(2, 100 * MILLI));
  }

  @Nested
  class WhenAnEarlierProcessReceivedTheRate {

    @Test
    void itHoldsUntilTheFirstAnswerWhichMayNameNone() {
      assertTrue(rate.onRemembered(2, 10 * SECOND));
      assertFalse(rate.mayStart(10 * SECOND + 499 * MILLI));
      assertTrue(rate.mayStart(10 * SECOND + 500 * MILLI));

      assertTrue(rate.onUnnamed(9 * SECOND));
      assertFalse(rate.onRemembered(2, 11 * SECOND));
      assertTrue(rate.mayStart(11 * SECOND));
    }

    @Test
    void theLowestOfSeveralCountsUntilTheFirstAnswer() {
      assertTrue(rate.onRemembered(3, 0));
      assertTrue(rate.onRemembered(2, 0));
      assertFalse(rate.onRemembered(3, 0));
      assertEquals(OptionalDouble.of(2), rate.perSecond());

      rate.onNamed(3, MILLI);
      assertFalse(rate.onRemembered(2, MILLI));
      assertEquals(OptionalDouble.of(3), rate.perSecond());
    }

    @Test
    void anEndIsReportedTooButNothingIfNoneWasEverNamed() {
      assertEquals(Optional.empty(), rate.stated());
      rate.onNamed(3, 0);
      assertEquals(Optional.of(new TargetNotice.Limit.Rate(3)), rate.stated());
      rate.onUnnamed(MILLI);
      assertEquals(Optional.of(new TargetNotice.Limit.Unstated()), rate.stated());
      rate.reset();
      assertEquals(Optional.empty(), rate.stated());
    }
  }
}
