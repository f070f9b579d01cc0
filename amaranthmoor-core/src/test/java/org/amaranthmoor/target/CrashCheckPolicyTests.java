package org.amaranthmoor.target;

import static org.amaranthmoor.target.CrashCheckPolicy.Decision.CHECK;
import static org.amaranthmoor.target.CrashCheckPolicy.Decision.CHECK_LATER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a crash that no check finds, and against a target that gets a connection for each
 * exchange that it breaks off. Times are in milliseconds.
 */
class CrashCheckPolicyTests {

  private static final long MILLI = 1_000_000L;
  private static final long INTERVAL = CrashCheckPolicy.CHECK_INTERVAL_NANOS / MILLI;

  private final CrashCheckPolicy policy = new CrashCheckPolicy();

  private CrashCheckPolicy.Decision onBroken(long handOverMillis, long brokenMillis) {
    return policy.onBroken(handOverMillis * MILLI, brokenMillis * MILLI);
  }

  private void accept(long startMillis) {
    policy.onCheck(startMillis * MILLI, true);
  }

  @Test
  void theFirstBrokenExchangeIsChecked() {
    assertEquals(CHECK, onBroken(0, 50));
  }

  @Test
  void anExchangeThatBrokeBeforeAnAcceptedCheckWaitsForTheNext() {
    accept(50);

    assertEquals(CHECK_LATER, onBroken(0, 50));
  }

  @Test
  void aCrashRightAfterAnAcceptedCheckIsFoundByRequestsInProgress() {
    accept(50);

    assertEquals(CHECK, onBroken(40, 51));
  }

  @Test
  void aRequestThatATargetBreaksOffRightAfterACheckWaitsForTheNext() {
    accept(50);

    assertEquals(CHECK_LATER, onBroken(52, 54));
    assertEquals(CHECK, onBroken(52, 50 + INTERVAL));
  }

  @Test
  void aRefusedCheckIsFollowedByAnotherAtOnce() {
    accept(50);
    policy.onCheck(60 * MILLI, false);

    assertEquals(CHECK, onBroken(61, 62));
  }

  /**
   * Replays eight callers whose requests a target accepts and breaks off after 3 ms, so that some
   * are always handed over before a check and break after it.
   */
  @Test
  void aTargetThatBreaksOffAllRequestsGetsFewChecks() {
    long microsPerMilli = 1_000;
    int checks = 0;
    for (long handOver = 0; handOver < 1_000 * microsPerMilli; handOver += 375) {
      long broken = handOver + 3 * microsPerMilli;
      if (policy.onBroken(handOver * 1_000, broken * 1_000) == CHECK) {
        checks++;
        policy.onCheck(broken * 1_000, true);
      }
    }

    long intervals = 1_000 / INTERVAL + 1;
    assertTrue(
        checks <= intervals * CrashCheckPolicy.MAX_CHECKS_PER_INTERVAL,
        "checks in one second: " + checks);
  }
}
