package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTests {

  private static RetryPolicy.Facts facts(boolean idempotent) {
    return new RetryPolicy.Facts(
        idempotent, true, 1, 0, 1_000, false, 2, RetryPolicy.DEFAULT_MAX_ATTEMPTS, false);
  }

  private static RetryBudget budget() {
    return new RetryBudget(0.1, 10);
  }

  private static Outcome<?> outcome(ResultCode code) {
    return switch (code.kind()) {
      case NOT_RUN, INVALID -> new Outcome.NotRun<>(code, 0, "");
      case UNKNOWN -> new Outcome.Unknown<>(code, "");
      case ANSWERED -> new Outcome.Answered<>("answer");
    };
  }

  @ParameterizedTest
  @EnumSource(ResultCode.class)
  void aRequestThatMayHaveRunIsNeverRetriedUnlessIdempotent(ResultCode code) {
    boolean mayHaveRun = code.kind() != ResultCode.Kind.NOT_RUN;

    if (mayHaveRun) {
      assertFalse(RetryPolicy.shouldRetry(outcome(code), facts(false), budget()), code.toString());
    }
  }

  @ParameterizedTest
  @CsvSource({
    "OVERLOADED, true",
    "DRAINING, true",
    "NODE_UNREACHABLE, true",
    "TARGET_UNREACHABLE, true",
    "FENCED, true",
    "DEADLINE_BEFORE_START, false",
    "CANCELLED, false",
    "KEY_LEDGER_FULL, false",
    "NO_RULE, false",
    "LINK_LOST, true",
    "DEADLINE_AFTER_START, false",
    "KEY_IN_PROGRESS, false"
  })
  void anIdempotentRequestIsRetriedWhereAnotherServerMayDoBetter(ResultCode code, boolean retried) {
    assertEquals(retried, RetryPolicy.shouldRetry(outcome(code), facts(true), budget()));
  }

  @ParameterizedTest
  @CsvSource({
    "false, 1, 0, 1000, 2",
    "true, 3, 0, 1000, 2",
    "true, 1, 1, 1000, 2",
    "true, 1, 0, 0, 2",
    "true, 1, 0, 1000, 0"
  })
  void noRetryWithoutAttemptsTimeOrServersLeft(
      boolean replayable,
      int attempts,
      int inheritedAttempt,
      long deadlineLeftNanos,
      int untriedServers) {
    RetryPolicy.Facts facts =
        new RetryPolicy.Facts(
            true,
            replayable,
            attempts,
            inheritedAttempt,
            deadlineLeftNanos,
            false,
            untriedServers,
            RetryPolicy.DEFAULT_MAX_ATTEMPTS,
            false);

    assertFalse(RetryPolicy.shouldRetry(outcome(ResultCode.OVERLOADED), facts, budget()));
  }

  @Test
  void inheritedRetriesLeaveFewerRetries() {
    RetryBudget budget = new RetryBudget(0.2, 10);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onFirstAttempt();
      if (i % 10 == 0) {
        budget.onInheritedRetry();
        retries++;
      }
      retries += budget.tryRetry() ? 1 : 0;
    }

    assertTrue(retries <= 2_010, "retries " + retries);
  }

  @Test
  void aRestartedNodeHasNoRetriesSavedUp() {
    RetryBudget budget = RetryBudget.empty(0.2, () -> 10);

    assertFalse(budget.tryRetry());
  }

  @Test
  void theBalanceShrinksAsMoreNodesShareTheBurst() {
    AtomicInteger burst = new AtomicInteger(20);
    RetryBudget budget = RetryBudget.empty(1, burst::get);
    for (int i = 0; i < 50; i++) {
      budget.onFirstAttempt();
    }
    burst.set(2);
    budget.onFirstAttempt();

    assertTrue(budget.tryRetry());
    assertTrue(budget.tryRetry());
    assertFalse(budget.tryRetry());
  }

  @Test
  void retriesAreAtMostTheShareOfFirstAttemptsAndTheBurst() {
    RetryBudget budget = new RetryBudget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onFirstAttempt();
      retries += budget.tryRetry() ? 1 : 0;
    }

    assertTrue(retries <= 1_010, "retries " + retries);
  }
}
