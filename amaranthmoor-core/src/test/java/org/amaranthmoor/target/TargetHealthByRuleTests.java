package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amaranthmoor.model.RuleName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a target that is closed to the requests it serves, because it fails those of
 * another rule.
 */
class TargetHealthByRuleTests {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final RuleName BAD = new RuleName("bad");
  private static final RuleName SOUND = new RuleName("sound");
  private static final RuleName NEW = new RuleName("new");

  private final TargetHealth health = new TargetHealth();

  private void fail(RuleName rule, int times) {
    for (int i = 0; i < times; i++) {
      health.onExchangeEnd(rule, true, 0);
    }
  }

  @Test
  void aRuleWhoseRequestsAllFailIsClosedAndTheOthersStayOpen() {
    health.onExchangeEnd(SOUND, false, 0);
    fail(BAD, 12);

    assertFalse(health.allowsRequest(BAD, false, 1));
    assertTrue(health.allowsRequest(SOUND, false, 1));
    assertTrue(health.allowsRequest(NEW, false, 1));
  }

  /** Every seventh request is sound, and the others are answered with an invalid status line. */
  @ParameterizedTest
  @ValueSource(ints = {2, 7, 40})
  void allRequestsOfASoundRuleAreServedDuringAndAfterTheFailuresOfAnother(int soundInterval) {
    int failed = 0;
    for (int i = 1; i <= 3_000; i++) {
      long now = i * 10L * MILLI;
      if (i % soundInterval == 0) {
        assertTrue(health.allowsRequest(SOUND, false, now), "sound request at " + i);
        health.onExchangeEnd(SOUND, false, now);
      } else if (health.allowsRequest(BAD, true, now)) {
        failed++;
        health.onExchangeEnd(BAD, true, now);
      }
    }
    assertTrue(failed <= 12 + 30_000 / 400, "requests that were sent to fail " + failed);

    for (int i = 0; i < 10; i++) {
      assertTrue(health.allowsRequest(SOUND, false, 33 * SECOND));
    }
  }

  /** Two failing rules with many requests, while each sound request fails once by coincidence. */
  @Test
  void aSingleFailureDoesNotCloseARule() {
    fail(BAD, 10);
    fail(NEW, 10);
    fail(SOUND, 1);

    assertTrue(health.allowsRequest(SOUND, false, 1));
  }

  @Test
  void aTargetThatFailsTheRequestsOfAllRulesIsClosedToThemAfterAsManyFailuresAsBefore() {
    for (int i = 0; i < 4; i++) {
      fail(BAD, 1);
      fail(SOUND, 1);
      fail(NEW, 1);
    }

    assertFalse(health.allowsRequest(BAD, false, 1));
    assertFalse(health.allowsRequest(SOUND, false, 1));
    assertFalse(health.allowsRequest(NEW, false, 1));
  }

  @Test
  void aTargetThatAcceptsNoConnectionIsClosedToAllRules() {
    health.onExchangeEnd(SOUND, false, 0);
    health.onConnectionRefused(1);

    assertFalse(health.allowsRequest(SOUND, false, 2));
    assertFalse(health.allowsRequest(NEW, true, 2));
  }

  @Test
  void aTargetThatHangsIsClosedToAllRules() {
    health.onExchangeEnd(SOUND, false, 0);
    for (int i = 1; i <= 4; i++) {
      health.onTimeout(BAD, i * SECOND, (i + 1) * SECOND);
    }

    assertFalse(health.allowsRequest(SOUND, false, 6 * SECOND));
  }

  @Test
  void aTargetThatHangsAfterItWasAlreadyFailingIsClosedToAllRules() {
    fail(BAD, 12);
    assertTrue(health.allowsRequest(SOUND, false, 1));

    health.onTimeout(BAD, SECOND, 2 * SECOND);

    assertFalse(health.allowsRequest(SOUND, false, 2 * SECOND));
  }

  /** Guards against trials that grow with the number of rules that a target fails. */
  @Test
  void aTargetThatFailsManyRulesGetsAsManyTrialsAsOneThatFailsOne() {
    for (int rule = 0; rule < 20; rule++) {
      fail(new RuleName("rule-" + rule), 12);
    }
    int trials = 0;
    for (long now = SECOND; now < 5 * SECOND; now += 10 * MILLI) {
      for (int i = 0; i < 20; i++) {
        RuleName rule = new RuleName("rule-" + i);
        if (health.allowsRequest(rule, true, now)) {
          trials++;
          health.onExchangeEnd(rule, true, now);
        }
      }
    }

    assertEquals(10, trials);
  }

  @Test
  void aClosedRuleIsOpenedByItsTrials() {
    fail(BAD, 12);
    assertTrue(health.allowsRequest(BAD, true, SECOND));
    health.onExchangeEnd(BAD, false, SECOND);
    assertFalse(health.allowsRequest(BAD, false, SECOND + 1));
    health.onExchangeEnd(BAD, false, SECOND + 1);

    assertTrue(health.allowsRequest(BAD, false, SECOND + 2));
    assertFalse(health.failing(BAD));
  }

  /** Guards against a rule without idempotent requests that is closed for good. */
  @Test
  void aClosedRuleIsOpenedByRareTrialsThatAreNotIdempotent() {
    fail(BAD, 12);
    health.onExchangeEnd(SOUND, false, 1);
    health.onExchangeEnd(SOUND, false, 2);
    fail(BAD, 1);
    assertFalse(health.allowsRequest(BAD, false, SECOND));

    assertTrue(health.allowsRequest(BAD, false, 2 * SECOND));
    assertFalse(health.allowsRequest(BAD, false, 2 * SECOND + 1));
    health.onExchangeEnd(BAD, false, 3 * SECOND);
    assertTrue(health.allowsRequest(BAD, false, 3 * SECOND));
    health.onExchangeEnd(BAD, false, 3 * SECOND);

    assertTrue(health.allowsRequest(BAD, false, 3 * SECOND + 1));
    assertTrue(health.allowsRequest(BAD, false, 3 * SECOND + 2));
  }

  /** Guards against a target without idempotent requests that is closed for good. */
  @Test
  void aRequestThatIsNotIdempotentIsARareTrialOfAFailingTargetWithoutOthers() {
    fail(BAD, 12);

    assertFalse(health.allowsRequest(BAD, false, SECOND));
    assertTrue(health.allowsRequest(BAD, false, 2 * SECOND));
    assertFalse(health.allowsRequest(BAD, false, 4 * SECOND - 1));
    assertTrue(health.allowsRequest(BAD, true, 4 * SECOND - 1));
    assertFalse(health.allowsRequest(BAD, false, 5 * SECOND));
  }

  /** Guards against a target that hung, and is closed to all rules for good. */
  @Test
  void aTargetThatHungIsOpenedByRareTrialsThatAreNotIdempotent() {
    for (int i = 0; i < 4; i++) {
      health.onTimeout(BAD, 0, SECOND);
    }
    assertFalse(health.allowsRequest(BAD, false, 2 * SECOND));

    assertTrue(health.allowsRequest(BAD, false, 3 * SECOND));
    health.onExchangeEnd(BAD, false, 4 * SECOND);
    assertTrue(health.allowsRequest(BAD, false, 4 * SECOND));
    health.onExchangeEnd(BAD, false, 4 * SECOND);

    assertTrue(health.allowsRequest(SOUND, false, 4 * SECOND));
    assertFalse(health.failing());
  }

  @Test
  void aTargetThatRecoversIsOpenToAllRulesAndClosesARuleAgainAtItsNextFailure() {
    fail(BAD, 12);
    fail(NEW, 12);
    health.onExchangeEnd(NEW, false, SECOND);
    health.onExchangeEnd(NEW, false, SECOND);

    assertTrue(health.allowsRequest(BAD, false, SECOND));
    fail(BAD, 1);
    assertFalse(health.allowsRequest(BAD, true, 1));
  }

  @Test
  void theRulesThatAreRememberedAreBounded() {
    for (int i = 0; i < 2 * TargetHealth.MAX_RULES; i++) {
      health.onExchangeEnd(SOUND, false, 0);
      fail(new RuleName("rule-" + i), 12);
    }

    int closed = 0;
    for (int i = 0; i < 2 * TargetHealth.MAX_RULES; i++) {
      closed += health.allowsRequest(new RuleName("rule-" + i), false, 1) ? 0 : 1;
    }
    assertEquals(TargetHealth.MAX_RULES, closed);
  }
}
