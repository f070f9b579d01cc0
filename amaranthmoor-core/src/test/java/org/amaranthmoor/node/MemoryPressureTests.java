package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

// A node whose heap was full said that it was ready, and took calls that it could not serve.
class MemoryPressureTests {

  private static final long START = Long.MAX_VALUE - 1_000_000_000L;
  private static final long SECOND = 1_000_000_000L;

  private final MemoryPressure pressure = new MemoryPressure();

  private void fail(long nanos) {
    pressure.onError(new OutOfMemoryError("test"), START + nanos);
  }

  private boolean isShort(long nanos) {
    return pressure.isShort(START + nanos);
  }

  @Test
  void aNodeWithoutErrorsIsNotShortOfMemory() {
    assertFalse(isShort(0));
  }

  @Test
  void aSingleErrorCountsForLessThanTheTimeBetweenTwoReadinessChecks() {
    fail(0);

    assertTrue(isShort(MemoryPressure.MIN_HOLD_NANOS - 1));
    assertFalse(isShort(MemoryPressure.MIN_HOLD_NANOS));
  }

  @Test
  void manyErrorsAtOnceCountAsOne() {
    for (int i = 0; i < 1_000; i++) {
      fail(0);
    }

    assertFalse(isShort(MemoryPressure.MIN_HOLD_NANOS));
  }

  @Test
  void errorsThatRecurAfterEachPauseMakeItLongerUpToABound() {
    long now = 0;
    for (int i = 0; i < 10; i++) {
      fail(now);
      while (isShort(now)) {
        now += MemoryPressure.MIN_HOLD_NANOS;
      }
    }
    fail(now);

    assertTrue(isShort(now + MemoryPressure.MAX_HOLD_NANOS - 1));
    assertFalse(isShort(now + MemoryPressure.MAX_HOLD_NANOS));
  }

  @Test
  void anErrorAfterARecoveryCountsAsASingleOne() {
    fail(0);
    fail(MemoryPressure.MIN_HOLD_NANOS);
    long later = 10 * SECOND;

    fail(later);

    assertFalse(isShort(later + MemoryPressure.MIN_HOLD_NANOS));
  }

  @Test
  void anExceptionThatALackOfMemoryCausedCounts() {
    pressure.onError(new IllegalStateException(new OutOfMemoryError("test")), START);

    assertTrue(isShort(0));
    assertEquals(1, pressure.errors());
  }

  @Test
  void otherErrorsDoNotCount() {
    pressure.onError(new StackOverflowError("test"), START);

    assertFalse(isShort(0));
  }
}
