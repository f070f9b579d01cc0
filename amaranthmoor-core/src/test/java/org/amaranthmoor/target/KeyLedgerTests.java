package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.amaranthmoor.model.IdempotencyKey;
import org.junit.jupiter.api.Test;

class KeyLedgerTests {

  private static final long NOW = 10 * KeyLedger.WINDOW_MILLIS;

  private final KeyLedger<String> ledger = new KeyLedger<>(3, 10, String::length);

  private static IdempotencyKey key(int number) {
    return IdempotencyKey.create(NOW, number, 0);
  }

  @Test
  void aSecondClaimOfARunningKeyIsNotFresh() {
    assertInstanceOf(KeyLedger.Claim.Fresh.class, ledger.claim(key(1), NOW));

    assertInstanceOf(KeyLedger.Claim.InProgress.class, ledger.claim(key(1), NOW));
  }

  @Test
  void aKeyWhoseRequestWasNotRunMayBeClaimedAgain() {
    ledger.claim(key(1), NOW);
    ledger.release(key(1));

    assertInstanceOf(KeyLedger.Claim.Fresh.class, ledger.claim(key(1), NOW));
  }

  @Test
  void retriesGetTheAnswer() {
    ledger.claim(key(1), NOW);
    ledger.onAnswered(key(1), Optional.of("done"));

    assertEquals(new KeyLedger.Claim.Answered<>(Optional.of("done")), ledger.claim(key(1), NOW));
  }

  @Test
  void aDroppedAnswerLeavesTheKeyAnswered() {
    ledger.claim(key(1), NOW);
    ledger.onAnswered(key(1), Optional.of("12345678"));
    ledger.claim(key(2), NOW);
    ledger.onAnswered(key(2), Optional.of("12345678"));

    assertEquals(new KeyLedger.Claim.Answered<>(Optional.empty()), ledger.claim(key(1), NOW));
  }

  @Test
  void aKeyThatMayHaveRunStaysUnknown() {
    ledger.claim(key(1), NOW);
    ledger.onOutcomeUnknown(key(1));

    assertInstanceOf(KeyLedger.Claim.OutcomeUnknown.class, ledger.claim(key(1), NOW));
  }

  @Test
  void anOldKeyIsNotFresh() {
    assertInstanceOf(
        KeyLedger.Claim.TooOld.class, ledger.claim(key(1), NOW + KeyLedger.WINDOW_MILLIS + 1));
  }

  @Test
  void aFullLedgerForgetsOnlyKeysThatAreTooOldToClaim() {
    for (int i = 1; i <= 3; i++) {
      ledger.claim(key(i), NOW);
      ledger.onAnswered(key(i), Optional.empty());
    }

    assertInstanceOf(KeyLedger.Claim.Full.class, ledger.claim(key(4), NOW));
    long later = NOW + 2 * KeyLedger.WINDOW_MILLIS;
    IdempotencyKey young = IdempotencyKey.create(later, 5, 0);
    assertInstanceOf(KeyLedger.Claim.Fresh.class, ledger.claim(young, later));
  }
}
