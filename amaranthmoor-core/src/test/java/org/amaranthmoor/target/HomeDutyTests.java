package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.target.HomeDuty.Vouching;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HomeDutyTests {

  private static final long MILLI = 1_000_000L;
  private static final long FENCE_MILLIS =
      HomeDuty.LEASE_MILLIS + 2 * KeyLedger.MAX_CLOCK_SKEW_MILLIS;
  private static final Homes.Member A = member("a", 1);
  private static final Homes.Member B = member("b", 1);
  private static final Homes ONE = new Homes(List.of(A));
  private static final Homes BOTH = new Homes(List.of(A, B));

  private final HomeDuty duty = new HomeDuty(A);

  private static Homes.Member member(String node, long incarnation) {
    return new Homes.Member(new NodeName(node), new Incarnation(incarnation));
  }

  private static IdempotencyKey keyOf(Homes.Member home, Homes homes, long createdAtMillis) {
    for (int i = 0; ; i++) {
      IdempotencyKey key = IdempotencyKey.create(createdAtMillis, i, 0);
      if (homes.homeOf(key).orElseThrow().equals(home)) {
        return key;
      }
    }
  }

  @Test
  void vouchesForNothingBeforeTheFirstState() {
    IdempotencyKey key = keyOf(A, ONE, 100_000);

    assertEquals(Vouching.NOT_HOME, duty.vouch(key, 0));
  }

  @Nested
  class WhenAlone {

    {
      duty.onHomes(ONE, false, 0);
      duty.onLogRead(0);
    }

    @Test
    void vouchesForKeysMadeAfterTheFence() {
      assertEquals(Vouching.VOUCHED, duty.vouch(keyOf(A, ONE, FENCE_MILLIS + 1), 1_000 * MILLI));
    }

    @Test
    void cannotKnowOfKeysMadeBeforeTheFence() {
      assertEquals(Vouching.CANNOT_KNOW, duty.vouch(keyOf(A, ONE, FENCE_MILLIS), 1_000 * MILLI));
    }

    @Test
    void stopsWhenTheLeaseRunsOut() {
      assertEquals(
          Vouching.NOT_HOME,
          duty.vouch(keyOf(A, ONE, FENCE_MILLIS + 1), HomeDuty.LEASE_MILLIS * MILLI));
    }
  }

  @Nested
  class WhenTwoOthersAreKnown {

    private static final Homes.Member C = member("c", 1);
    private static final Homes THREE = new Homes(List.of(A, B, C));

    {
      duty.onHomes(THREE, false, 0);
      duty.onLogRead(0);
    }

    @Test
    void isEstablishedOnlyWhenBothHaveConfirmed() {
      duty.onConfirmed(B, THREE.fingerprint(), 0, 0);
      assertFalse(duty.established());

      duty.onConfirmed(C, THREE.fingerprint(), 0, 0);
      assertTrue(duty.established());
    }

    @Test
    void vouchesForNothingAfterOneConfirmation() {
      duty.onConfirmed(B, THREE.fingerprint(), 0, 0);

      assertEquals(Vouching.NOT_HOME, duty.vouch(keyOf(A, THREE, FENCE_MILLIS + 1), MILLI));
    }
  }

  @Nested
  class WhenAnotherMemberIsKnown {

    private final IdempotencyKey key = keyOf(A, BOTH, FENCE_MILLIS + 1);

    {
      duty.onHomes(BOTH, false, 0);
    }

    @Test
    void vouchesOnlyAfterTheOtherHasConfirmed() {
      duty.onLogRead(0);
      assertEquals(Vouching.NOT_HOME, duty.vouch(key, MILLI));

      duty.onConfirmed(B, BOTH.fingerprint(), 0, 0);
      assertEquals(Vouching.VOUCHED, duty.vouch(key, MILLI));
    }

    @Test
    void countsOlderLeasesFromTheConfirmationOn() {
      duty.onLogRead(0);
      duty.onConfirmed(B, BOTH.fingerprint(), 0, 1_000);

      assertEquals(Vouching.CANNOT_KNOW, duty.vouch(key, MILLI));
      assertEquals(Vouching.VOUCHED, duty.vouch(keyOf(A, BOTH, FENCE_MILLIS + 1_001), MILLI));
    }

    @Test
    void aConfirmationOfAnotherSetDoesNotCount() {
      duty.onLogRead(0);
      duty.onConfirmed(B, ONE.fingerprint(), 0, 0);

      assertEquals(Vouching.NOT_HOME, duty.vouch(key, MILLI));
    }

    @Test
    void confirmationsOfAllRenewTheLeaseWhileTheLogIsDown() {
      duty.onLogRead(0);
      duty.onConfirmed(B, BOTH.fingerprint(), 10_000 * MILLI, 0);

      assertEquals(Vouching.VOUCHED, duty.vouch(key, 12_000 * MILLI));
      assertEquals(Vouching.NOT_HOME, duty.vouch(key, 13_000 * MILLI));
    }

    @Test
    void isNotTheHomeOfTheOthersKeys() {
      duty.onLogRead(0);
      duty.onConfirmed(B, BOTH.fingerprint(), 0, 0);

      assertEquals(Vouching.NOT_HOME, duty.vouch(keyOf(B, BOTH, FENCE_MILLIS + 1), MILLI));
    }

    @Test
    void takesOverKeysOfAnEvictedMemberOnlyAfterItsLeases() {
      duty.onHomes(ONE, true, 60_000);
      duty.onLogRead(0);
      IdempotencyKey before = keyOf(B, BOTH, 60_000 + FENCE_MILLIS);
      IdempotencyKey after = keyOf(B, BOTH, 60_000 + FENCE_MILLIS + 1);

      assertEquals(Vouching.CANNOT_KNOW, duty.vouch(before, MILLI));
      assertEquals(Vouching.VOUCHED, duty.vouch(after, MILLI));
    }

    @Test
    void keepsVouchingForItsOwnKeysWhenAnotherIsEvicted() {
      duty.onConfirmed(B, BOTH.fingerprint(), 0, 0);
      duty.onHomes(ONE, true, 60_000);
      duty.onLogRead(0);

      assertEquals(Vouching.VOUCHED, duty.vouch(key, MILLI));
    }

    @Test
    void aMemberThatNeverHadAConfirmationCountsFromTheEviction() {
      duty.onHomes(ONE, true, 60_000);
      duty.onLogRead(0);

      assertEquals(Vouching.CANNOT_KNOW, duty.vouch(key, MILLI));
    }

    @Test
    void aJumpByCheckpointMakesEarlierKeysUnknown() {
      duty.onHomes(ONE, false, 60_000);
      duty.onLogRead(0);

      assertEquals(Vouching.CANNOT_KNOW, duty.vouch(key, MILLI));
    }

    @Test
    void confirmsNothingWhileAnEvictionIsUnderWay() {
      duty.onEvictionRequested();

      assertFalse(duty.confirms(BOTH.fingerprint()));
    }
  }
}
