package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.amaranthmoor.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTests {

  private static final long MILLI = 1_000_000L;
  private static final double ACCEPTED_SHARE = 1 / 3.0;

  private final SplittableRandom random = new SplittableRandom(5);

  private long[] delaysMillis(ResultCode code, long objectiveMillis, long deadlineMillis) {
    return delaysMillis(code, objectiveMillis, deadlineMillis, 0);
  }

  private long[] delaysMillis(
      ResultCode code, long objectiveMillis, long deadlineMillis, long startWaitMillis) {
    return LongStream.range(0, 200)
        .map(
            i ->
                RetryAfter.delayMillis(
                    code,
                    objectiveMillis * MILLI,
                    deadlineMillis * MILLI,
                    ACCEPTED_SHARE,
                    startWaitMillis * MILLI,
                    random))
        .sorted()
        .toArray();
  }

  @ParameterizedTest
  @CsvSource({"500, 1200", "200, 1200", "1000, 3000"})
  void refusedCallersRetryWhileTheyCanBeInTime(long objectiveMillis, long deadlineMillis) {
    long[] delaysMillis = delaysMillis(ResultCode.OVERLOADED, objectiveMillis, deadlineMillis);

    assertTrue(delaysMillis[0] > 0);
    assertTrue(delaysMillis[199] <= objectiveMillis * 0.4);
  }

  @Test
  void retriesAreSpreadOverTime() {
    long[] delaysMillis = delaysMillis(ResultCode.OVERLOADED, 500, 1_200);

    assertTrue(
        delaysMillis[199] - delaysMillis[0] >= 120,
        "spread over " + (delaysMillis[199] - delaysMillis[0]) + " ms");
  }

  @ParameterizedTest
  @CsvSource({"OVERLOADED, -100", "OVERLOADED, 10", "NO_TARGET, 500", "NOT_READY, 500"})
  void callersWaitAsLongAsTheyAcceptIfAnEarlyRetryCannotHelp(
      ResultCode code, long objectiveMillis) {
    long[] delaysMillis = delaysMillis(code, objectiveMillis, 1_200);

    assertTrue(
        delaysMillis[0] >= 300 && delaysMillis[199] <= 400,
        delaysMillis[0] + " to " + delaysMillis[199]);
  }

  @Test
  void noCallerRetriesBeforeARateLimitedTargetMayStartARequest() {
    long[] delaysMillis = delaysMillis(ResultCode.TARGET_LIMITED, 500, 1_200, 150);
    assertTrue(
        delaysMillis[0] >= 150 && delaysMillis[199] <= 200,
        delaysMillis[0] + " to " + delaysMillis[199]);

    long[] cappedDelaysMillis = delaysMillis(ResultCode.TARGET_LIMITED, 500, 1_200, 5_000);
    assertTrue(
        cappedDelaysMillis[0] >= 399 && cappedDelaysMillis[199] <= 400,
        cappedDelaysMillis[0] + " to " + cappedDelaysMillis[199]);
  }

  @Test
  void noDelayExceedsWhatTheCallerAccepts() {
    long[] delaysMillis = delaysMillis(ResultCode.OVERLOADED, 500, 300);

    assertTrue(delaysMillis[199] <= 100);
  }
}
