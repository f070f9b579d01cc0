package org.amaranthmoor.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against holders that use more memory together than there is. */
class ByteBudgetTests {

  private final ByteBudget budget = new ByteBudget(100);

  @Test
  void noMoreThanTheCapacityIsAcquired() {
    assertTrue(budget.tryAcquire(60));
    assertFalse(budget.tryAcquire(41));
    assertTrue(budget.tryAcquire(40));
    assertEquals(100, budget.used());
  }

  @Test
  void releasedBytesAreAcquiredAgain() {
    assertTrue(budget.tryAcquire(100));
    budget.release(100);

    assertTrue(budget.tryAcquire(100));
  }

  @Test
  void theLastQuarterIsKeptForWhatHasBegun() {
    assertTrue(budget.tryAcquire(75));
    assertFalse(budget.isNearlyUsed());
    assertTrue(budget.tryAcquire(1));
    assertTrue(budget.isNearlyUsed());
  }
}
