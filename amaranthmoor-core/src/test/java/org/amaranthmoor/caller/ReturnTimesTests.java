package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.amaranthmoor.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReturnTimesTests {

  private static final long MILLI = 1_000_000L;
  private static final double ACCEPTED = 1 / 3.0;

  private final SplittableRandom random = new SplittableRandom(5);

  private long[] times(ResultCode code, long objectiveMillis, long deadlineMillis) {
    return times(code, objectiveMillis, deadlineMillis, 0);
  }

  private long[] times(
      ResultCode code, long objectiveMillis, long deadlineMillis, long startWaitMillis) {
    return LongStream.range(0, 200)
        .map(
            i ->
                ReturnTimes.millis(
                    code,
                    objectiveMillis * MILLI,
                    deadlineMillis * MILLI,
                    ACCEPTED,
                    startWaitMillis * MILLI,
                    random))
        .sorted()
        .toArray();
  }

  @ParameterizedTest
  @CsvSource({"500, 1200", "200, 1200", "1000, 3000"})
  void refusedCallersComeBackWhileTheyCanBeInTime(long objectiveMillis, long deadlineMillis) {
    long[] times = times(ResultCode.OVERLOADED, objectiveMillis, deadlineMillis);

    assertTrue(times[0] > 0);
    assertTrue(times[199] <= objectiveMillis * 0.4);
  }

  @Test
  void theyDoNotComeBackTogether() {
    long[] times = times(ResultCode.OVERLOADED, 500, 1_200);

    assertTrue(times[199] - times[0] >= 120, "spread over " + (times[199] - times[0]) + " ms");
  }

  @ParameterizedTest
  @CsvSource({"OVERLOADED, -100", "OVERLOADED, 10", "NO_TARGET, 500", "NOT_READY, 500"})
  void whereSoonDoesNotHelpTheyWaitAsLongAsTheyAccept(ResultCode code, long objectiveMillis) {
    long[] times = times(code, objectiveMillis, 1_200);

    assertTrue(times[0] >= 300 && times[199] <= 400, times[0] + " to " + times[199]);
  }

  @Test
  void nobodyComesBackBeforeALimitedTargetMayStartARequest() {
    long[] times = times(ResultCode.TARGET_LIMITED, 500, 1_200, 150);
    assertTrue(times[0] >= 150 && times[199] <= 200, times[0] + " to " + times[199]);

    long[] late = times(ResultCode.TARGET_LIMITED, 500, 1_200, 5_000);
    assertTrue(late[0] >= 399 && late[199] <= 400, late[0] + " to " + late[199]);
  }

  @Test
  void nobodyIsToldMoreThanItAccepts() {
    long[] times = times(ResultCode.OVERLOADED, 500, 300);

    assertTrue(times[199] <= 100);
  }
}
