package org.amaranthmoor.caller;

import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;

/**
 * Decides whether a failed attempt is followed by another.
 *
 * <p>Invariant: an attempt that may have run is never followed by another unless the request is
 * idempotent. Stateless and safe for use by several threads.
 */
public final class RetryPolicy {

  /** Most attempts at one call where its rule states none. */
  public static final int MAX_ATTEMPTS = 3;

  private RetryPolicy() {}

  /**
   * Facts about a call on which the decision rests.
   *
   * @param idempotent whether the request may be run again
   * @param replayable whether the whole body sent so far can be sent again
   * @param attempts attempts made so far
   * @param inheritedAttempt attempt number that the caller's header carried, 0 for a first attempt
   * @param nanosLeft time to the deadline in nanoseconds
   * @param fixedServer whether only one server may run the request
   * @param untried servers not tried yet
   * @param maxAttempts most attempts that may reach a target
   * @param answeredFailure whether the target answered, and said that it failed
   */
  public record Facts(
      boolean idempotent,
      boolean replayable,
      int attempts,
      int inheritedAttempt,
      long nanosLeft,
      boolean fixedServer,
      int untried,
      int maxAttempts,
      boolean answeredFailure) {}

  /**
   * Decides on another attempt, and takes it from the budget if there is to be one.
   *
   * @param outcome outcome of the last attempt
   * @param facts facts about the call
   * @param budget the service's budget
   * @return whether to try again
   */
  public static boolean retries(Outcome<?> outcome, Facts facts, RetryBudget budget) {
    return allowed(outcome, facts) && (isFree(outcome) || budget.tryRetry());
  }

  // A refusal by a node costs the targets nothing, so asking another node draws nothing; only what
  // a target itself turned away has arrived there.
  private static boolean isFree(Outcome<?> outcome) {
    return outcome instanceof Outcome.NotRun<?> notRun && !notRun.code().reachedTarget();
  }

  private static boolean allowed(Outcome<?> outcome, Facts facts) {
    boolean room =
        facts.attempts() < facts.maxAttempts()
            && facts.inheritedAttempt() == 0
            && facts.nanosLeft() > 0
            && (facts.fixedServer() || facts.untried() > 0)
            && facts.replayable();
    return room
        && switch (outcome) {
          case Outcome.Answered<?> answered -> facts.idempotent() && facts.answeredFailure();
          case Outcome.NotRun<?> notRun ->
              facts.fixedServer()
                  ? isPassing(notRun.code())
                  : notRun.code().retryableOnOtherTarget();
          case Outcome.Unknown<?> unknown ->
              facts.idempotent() && unknown.code().retryableOnOtherTarget();
        };
  }

  // Whether the same server may do better at once.
  private static boolean isPassing(ResultCode code) {
    return switch (code) {
      case NODE_UNREACHABLE, FENCED -> true;
      default -> false;
    };
  }
}
