package org.amaranthmoor.testkit.random;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RandomRunTests {

  private static final long TEN_MINUTES_MILLIS = 600_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void noInvariantIsBrokenUnderRandomFaults(long seed) {
    RandomRun.Summary summary = RandomRun.run(seed, TEN_MINUTES_MILLIS);

    assertTrue(summary.executions() > 0, "the run executed no request");
  }

  // Seeds with which a key once ran twice.
  @ParameterizedTest
  @ValueSource(longs = {1796345474444001L, 1796348410792344L})
  void seedsThatOnceViolatedAnInvariantPass(long seed) {
    RandomRun.run(seed, TEN_MINUTES_MILLIS);
  }

  @Test
  void theSameSeedGivesTheSameSummary() {
    assertEquals(RandomRun.run(5, 60_000), RandomRun.run(5, 60_000));
  }
}
