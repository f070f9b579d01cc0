package org.amaranthmoor.caller;

import java.util.Optional;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TeamName;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>Invariant: an attempt that may have run is never followed by another unless the request is
 * idempotent. Stateless and safe for use by several threads.
 */
public final class RetryPolicy {

  /** Most attempts at one call where its rule states none. */
  public static final int DEFAULT_MAX_ATTEMPTS = 3;

  private RetryPolicy() {}

  /**
   * Facts about a call on which the decision depends.
   *
   * @param idempotent whether the request may be run again
   * @param replayable whether the whole body sent so far can be sent again
   * @param attempts attempts made so far
   * @param inheritedAttempt attempt number that the caller's header carried, 0 for a first attempt
   * @param deadlineLeftNanos time to the deadline in nanoseconds
   * @param singleServer whether only one server may run the request
   * @param untriedServers servers not tried yet
   * @param maxAttempts most attempts that may reach a target
   * @param answeredWithFailure whether the target answered that it failed
   */
  public record Facts(
      boolean idempotent,
      boolean replayable,
      int attempts,
      int inheritedAttempt,
      long deadlineLeftNanos,
      boolean singleServer,
      int untriedServers,
      int maxAttempts,
      boolean answeredWithFailure) {}

  /**
   * Decides on another attempt of a call without a team, as with {@link #shouldRetry(Outcome,
   * Facts, Optional, RetryBudget)}.
   *
   * @param outcome outcome of the last attempt
   * @param facts facts about the call
   * @param budget the service's budget
   * @return whether to retry
   */
  public static boolean shouldRetry(Outcome<?> outcome, Facts facts, RetryBudget budget) {
    return shouldRetry(outcome, facts, Optional.empty(), budget);
  }

  /**
   * Decides on another attempt, and takes it from the budget unless it is free.
   *
   * @param outcome outcome of the last attempt
   * @param facts facts about the call
   * @param team the team of the call, or empty if it belongs to none
   * @param budget the service's budget
   * @return whether to retry
   */
  public static boolean shouldRetry(
      Outcome<?> outcome, Facts facts, Optional<TeamName> team, RetryBudget budget) {
    return isRetryable(outcome, facts) && (isFreeRetry(outcome) || budget.tryRetry(team));
  }

  // A refusal by a node costs the targets nothing, so trying another node takes nothing from the
  // budget. Only a request that a target itself has refused has arrived there.
  private static boolean isFreeRetry(Outcome<?> outcome) {
    return outcome instanceof Outcome.NotRun<?> notRun && !notRun.code().reachedTarget();
  }

  private static boolean isRetryable(Outcome<?> outcome, Facts facts) {
    boolean anotherAttemptPossible =
        facts.attempts() < facts.maxAttempts()
            && facts.inheritedAttempt() == 0
            && facts.deadlineLeftNanos() > 0
            && (facts.singleServer() || facts.untriedServers() > 0)
            && facts.replayable();
    return anotherAttemptPossible
        && switch (outcome) {
          case Outcome.Answered<?> answered -> facts.idempotent() && facts.answeredWithFailure();
          case Outcome.NotRun<?> notRun ->
              facts.singleServer()
                  ? isTransient(notRun.code())
                  : notRun.code().retryableOnOtherTarget();
          case Outcome.Unknown<?> unknown ->
              facts.idempotent() && unknown.code().retryableOnOtherTarget();
        };
  }

  // Whether an immediate retry at the same server may succeed.
  private static boolean isTransient(ResultCode code) {
    return switch (code) {
      case NODE_UNREACHABLE, FENCED -> true;
      default -> false;
    };
  }
}
