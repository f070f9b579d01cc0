package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.ZoneName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against an evacuation that ends too early: nodes learn of evacuations from the source and
 * from each other, so that older states arrive after newer ones, and a restored source lacks the
 * last records for some seconds.
 */
class EvacuatedZonesTests {

  private static final SourceEpoch FIRST = new SourceEpoch(1);
  private static final SourceEpoch SECOND = new SourceEpoch(2);
  private static final ZoneName A = new ZoneName("a");
  private static final ZoneName B = new ZoneName("b");

  private final EvacuatedZones zones = new EvacuatedZones();

  private static EvacuatedZones.State state(SourceEpoch epoch, long offset, ZoneName... zones) {
    return new EvacuatedZones.State(epoch, offset, Set.of(zones));
  }

  @Test
  void noZoneIsEvacuatedBeforeTheFirstRead() {
    assertFalse(zones.onState(EvacuatedZones.State.UNREAD, 0));
    assertFalse(zones.contains(A, 0));
    assertFalse(zones.state().isRead());
  }

  @Test
  void recordsApplyInTheOrderOfTheirPositions() {
    zones.onState(state(FIRST, 3), 0);

    assertTrue(zones.onChanges(Map.of(A, true, B, true), FIRST, 5, 0));
    assertTrue(zones.onChanges(Map.of(A, false), FIRST, 6, 0));

    assertEquals(Set.of(B), zones.zones(0));
  }

  @Test
  void anOlderStateOfAnotherNodeChangesNothing() {
    zones.onState(state(FIRST, 6, A), 0);

    assertFalse(zones.onState(state(FIRST, 5), 0));
    assertFalse(zones.onState(state(FIRST, 6), 0));

    assertTrue(zones.contains(A, 0));
  }

  @Test
  void recordsThatAnotherNodeHasReadAlreadyChangeNothing() {
    zones.onState(state(FIRST, 5), 0);
    zones.onState(state(FIRST, 9, B), 0);

    assertFalse(zones.onChanges(Map.of(A, true), FIRST, 8, 0));

    assertEquals(Set.of(B), zones.zones(0));
  }

  @Test
  void recordsThatAnotherNodeHasReadInPartLeadToTheSameState() {
    zones.onState(state(FIRST, 5), 0);
    zones.onState(state(FIRST, 7, A), 0);

    // Offset 6 evacuates a, offset 7 evacuates b, offset 8 takes a back.
    assertTrue(zones.onChanges(Map.of(A, false, B, true), FIRST, 9, 0));

    assertEquals(Set.of(B), zones.zones(0));
  }

  @Nested
  class AfterARollbackOfTheSource {

    private static final long HOLD = EvacuatedZones.ROLLBACK_HOLD_NANOS;

    @BeforeEach
    void rollBack() {
      zones.onState(state(FIRST, 20, A), 0);
      zones.onState(state(SECOND, 10), 0);
    }

    @Test
    void anEvacuationThatIsMissingHoldsForALimitedTime() {
      assertTrue(zones.contains(A, HOLD - 1));
      assertFalse(zones.contains(A, HOLD));
    }

    @Test
    void anEvacuationThatTheOperatorRepeatsStaysInForce() {
      zones.onChanges(Map.of(A, true), SECOND, 11, HOLD / 2);

      assertTrue(zones.contains(A, 2 * HOLD));
    }

    @Test
    void aRecordThatTakesTheZoneBackEndsTheHold() {
      assertTrue(zones.onChanges(Map.of(A, false), SECOND, 11, 1));

      assertFalse(zones.contains(A, 1));
    }

    @Test
    void anotherNodeThatHasReadTheRepeatAndTheEndOfTheEvacuationEndsTheHold() {
      zones.onState(state(SECOND, 12, A), 1);
      assertTrue(zones.onState(state(SECOND, 13), 2));

      assertFalse(zones.contains(A, 2));
    }

    @Test
    void aStateOfTheEarlierEpochChangesNothing() {
      assertFalse(zones.onState(state(FIRST, 30, B), 0));

      assertEquals(Set.of(A), zones.zones(0));
    }

    @Test
    void theHoldIsNotPassedOn() {
      assertEquals(Set.of(), zones.state().zones());
    }
  }
}
