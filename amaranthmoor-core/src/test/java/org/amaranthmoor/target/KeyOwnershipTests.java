package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.target.KeyOwnership.Status;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyOwnershipTests {

  private static final long MILLI = 1_000_000L;
  private static final long FENCE_MILLIS =
      KeyOwnership.LEASE_MILLIS + 2 * KeyLedger.MAX_CLOCK_SKEW_MILLIS;
  private static final KeyOwners.Member A = member("a", 1);
  private static final KeyOwners.Member B = member("b", 1);
  private static final KeyOwners ONLY_A = new KeyOwners(List.of(A));
  private static final KeyOwners A_AND_B = new KeyOwners(List.of(A, B));

  private final KeyOwnership ownership = new KeyOwnership(A);

  private static KeyOwners.Member member(String node, long incarnation) {
    return new KeyOwners.Member(new NodeName(node), new Incarnation(incarnation));
  }

  private static IdempotencyKey keyOf(
      KeyOwners.Member owner, KeyOwners owners, long createdAtMillis) {
    for (int i = 0; ; i++) {
      IdempotencyKey key = IdempotencyKey.create(createdAtMillis, i, 0);
      if (owners.ownerOf(key).orElseThrow().equals(owner)) {
        return key;
      }
    }
  }

  @Test
  void ownsNoKeyBeforeTheFirstState() {
    IdempotencyKey key = keyOf(A, ONLY_A, 100_000);

    assertEquals(Status.NOT_OWNER, ownership.statusOf(key, 0));
  }

  @Nested
  class WhenAlone {

    {
      ownership.onMembers(ONLY_A, false, 0);
      ownership.onLogRead(0);
    }

    @Test
    void ownsKeysMadeAfterTheFenceExclusively() {
      assertEquals(
          Status.EXCLUSIVE, ownership.statusOf(keyOf(A, ONLY_A, FENCE_MILLIS + 1), 1_000 * MILLI));
    }

    @Test
    void isUncertainOfKeysMadeBeforeTheFence() {
      assertEquals(
          Status.UNCERTAIN, ownership.statusOf(keyOf(A, ONLY_A, FENCE_MILLIS), 1_000 * MILLI));
    }

    @Test
    void ownsNoKeyOnceTheLeaseHasExpired() {
      assertEquals(
          Status.NOT_OWNER,
          ownership.statusOf(
              keyOf(A, ONLY_A, FENCE_MILLIS + 1), KeyOwnership.LEASE_MILLIS * MILLI));
    }
  }

  @Nested
  class WhenTwoOthersAreKnown {

    private static final KeyOwners.Member C = member("c", 1);
    private static final KeyOwners A_B_AND_C = new KeyOwners(List.of(A, B, C));

    {
      ownership.onMembers(A_B_AND_C, false, 0);
      ownership.onLogRead(0);
    }

    @Test
    void isEstablishedOnlyWhenBothHaveConfirmed() {
      ownership.onConfirmed(B, A_B_AND_C.fingerprint(), 0, 0);
      assertFalse(ownership.established());

      ownership.onConfirmed(C, A_B_AND_C.fingerprint(), 0, 0);
      assertTrue(ownership.established());
    }

    @Test
    void ownsNoKeyAfterOneOfTwoConfirmations() {
      ownership.onConfirmed(B, A_B_AND_C.fingerprint(), 0, 0);

      assertEquals(
          Status.NOT_OWNER, ownership.statusOf(keyOf(A, A_B_AND_C, FENCE_MILLIS + 1), MILLI));
    }
  }

  @Nested
  class WhenAnotherMemberIsKnown {

    private final IdempotencyKey key = keyOf(A, A_AND_B, FENCE_MILLIS + 1);

    {
      ownership.onMembers(A_AND_B, false, 0);
    }

    @Test
    void ownsKeysOnlyAfterTheOtherHasConfirmed() {
      ownership.onLogRead(0);
      assertEquals(Status.NOT_OWNER, ownership.statusOf(key, MILLI));

      ownership.onConfirmed(B, A_AND_B.fingerprint(), 0, 0);
      assertEquals(Status.EXCLUSIVE, ownership.statusOf(key, MILLI));
    }

    @Test
    void countsOlderLeasesFromTheConfirmationOn() {
      ownership.onLogRead(0);
      ownership.onConfirmed(B, A_AND_B.fingerprint(), 0, 1_000);

      assertEquals(Status.UNCERTAIN, ownership.statusOf(key, MILLI));
      assertEquals(
          Status.EXCLUSIVE, ownership.statusOf(keyOf(A, A_AND_B, FENCE_MILLIS + 1_001), MILLI));
    }

    @Test
    void aConfirmationOfAnotherSetDoesNotCount() {
      ownership.onLogRead(0);
      ownership.onConfirmed(B, ONLY_A.fingerprint(), 0, 0);

      assertEquals(Status.NOT_OWNER, ownership.statusOf(key, MILLI));
    }

    @Test
    void confirmationsOfAllRenewTheLeaseWhileTheLogIsDown() {
      ownership.onLogRead(0);
      ownership.onConfirmed(B, A_AND_B.fingerprint(), 10_000 * MILLI, 0);

      assertEquals(Status.EXCLUSIVE, ownership.statusOf(key, 12_000 * MILLI));
      assertEquals(Status.NOT_OWNER, ownership.statusOf(key, 13_000 * MILLI));
    }

    @Test
    void doesNotOwnKeysOfAnotherMember() {
      ownership.onLogRead(0);
      ownership.onConfirmed(B, A_AND_B.fingerprint(), 0, 0);

      assertEquals(
          Status.NOT_OWNER, ownership.statusOf(keyOf(B, A_AND_B, FENCE_MILLIS + 1), MILLI));
    }

    @Test
    void takesOverKeysOfAnEvictedMemberOnlyAfterItsLeaseHasExpired() {
      ownership.onMembers(ONLY_A, true, 60_000);
      ownership.onLogRead(0);
      IdempotencyKey before = keyOf(B, A_AND_B, 60_000 + FENCE_MILLIS);
      IdempotencyKey after = keyOf(B, A_AND_B, 60_000 + FENCE_MILLIS + 1);

      assertEquals(Status.UNCERTAIN, ownership.statusOf(before, MILLI));
      assertEquals(Status.EXCLUSIVE, ownership.statusOf(after, MILLI));
    }

    @Test
    void keepsItsOwnKeysWhenAnotherMemberIsEvicted() {
      ownership.onConfirmed(B, A_AND_B.fingerprint(), 0, 0);
      ownership.onMembers(ONLY_A, true, 60_000);
      ownership.onLogRead(0);

      assertEquals(Status.EXCLUSIVE, ownership.statusOf(key, MILLI));
    }

    @Test
    void aMemberWithoutAnyConfirmationCountsLeasesFromTheEviction() {
      ownership.onMembers(ONLY_A, true, 60_000);
      ownership.onLogRead(0);

      assertEquals(Status.UNCERTAIN, ownership.statusOf(key, MILLI));
    }

    @Test
    void loadingACheckpointMakesEarlierKeysUncertain() {
      ownership.onMembers(ONLY_A, false, 60_000);
      ownership.onLogRead(0);

      assertEquals(Status.UNCERTAIN, ownership.statusOf(key, MILLI));
    }

    @Test
    void confirmsNothingWhileAnEvictionIsPending() {
      ownership.onEvictionRequested();

      assertFalse(ownership.confirms(A_AND_B.fingerprint()));
    }
  }
}
