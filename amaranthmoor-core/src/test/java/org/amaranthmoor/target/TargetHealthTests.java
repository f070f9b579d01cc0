package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetHealthTests {

  private static final long SECOND = 1_000_000_000L;

  private final TargetHealth health = new TargetHealth();

  private void ends(int count, boolean failed) {
    for (int i = 0; i < count; i++) {
      health.onExchangeEnd(failed, 0);
    }
  }

  @Test
  void scatteredFailuresKeepTheTargetInUse() {
    for (int i = 0; i < 100; i++) {
      health.onExchangeEnd(i % 4 == 0, 0);
    }

    assertTrue(health.allowsRequest(false, 0));
  }

  @Test
  void aTimeoutDoesNotCountIfOtherRequestsWereAnsweredMeanwhile() {
    for (int i = 0; i < 20; i++) {
      health.onExchangeEnd(false, i * SECOND + SECOND / 2);
      health.onTimeout(i * SECOND, (i + 1) * SECOND);
      health.onTimeout(i * SECOND, (i + 1) * SECOND);
    }

    assertTrue(health.allowsRequest(false, 20 * SECOND));
  }

  @Test
  void aTargetThatAnswersNothingCountsAsFailing() {
    health.onExchangeEnd(false, 0);
    for (int i = 1; i < 10; i++) {
      health.onTimeout(i * SECOND, (i + 1) * SECOND);
    }

    assertFalse(health.allowsRequest(false, 10 * SECOND));
  }

  @Test
  void aTargetThatFailsFourOfTenRequestsStaysInUse() {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 500; i++) {
      health.onExchangeEnd(random.nextInt(10) < 4, 0);

      assertTrue(health.allowsRequest(false, 0));
    }
  }

  @Nested
  class WhenNoRequestIsAnswered {

    {
      ends(12, true);
    }

    @Test
    void onlyOneIdempotentRequestIsAllowedPerTrialInterval() {
      assertTrue(health.allowsRequest(true, SECOND));
      assertFalse(health.allowsRequest(true, SECOND));
      assertTrue(health.allowsRequest(true, 2 * SECOND));
    }

    @Test
    void aRequestThatIsNotIdempotentIsNotAllowed() {
      assertFalse(health.allowsRequest(false, SECOND));
    }

    // A service without idempotent requests was closed for good once its target had hung.
    @Test
    void aRequestThatIsNotIdempotentIsATrialIfThereAreNoOthers() {
      assertTrue(health.allowsRequest(false, 2 * SECOND));
      assertFalse(health.allowsRequest(false, 2 * SECOND + 1));
      health.onExchangeEnd(false, 3 * SECOND);
      assertTrue(health.allowsRequest(false, 3 * SECOND));
      health.onExchangeEnd(false, 3 * SECOND);

      assertFalse(health.failing());
    }

    @Test
    void aRequestThatIsNotIdempotentIsNoTrialWhileIdempotentOnesAre() {
      for (int i = 1; i < 20; i++) {
        assertTrue(health.allowsRequest(true, i * SECOND));
        assertFalse(health.allowsRequest(false, i * SECOND + 1));
      }
    }

    @Test
    void successesRestoreTheTarget() {
      ends(10, false);

      assertTrue(health.allowsRequest(false, 0));
    }

    @Test
    void aNewRunStartsWithoutFailures() {
      health.reset();

      assertTrue(health.allowsRequest(false, 0));
    }
  }

  @Test
  void aTargetThatAcceptsNoConnectionIsTriedAgainAfterAPause() {
    health.onConnectionRefused(0);

    assertFalse(health.allowsRequest(true, 0));
    assertTrue(health.allowsRequest(true, SECOND));
  }

  @Test
  void aTargetWithoutIdempotentRequestsThatRefusedAConnectionIsTriedAgainAfterAPause() {
    health.onConnectionRefused(0);

    assertFalse(health.allowsRequest(false, 0));
    assertTrue(health.allowsRequest(false, SECOND));
  }
}
