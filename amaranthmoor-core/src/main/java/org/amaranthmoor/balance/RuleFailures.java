package org.amaranthmoor.balance;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;

/**
 * Failures of the requests of each rule at one server, and the ejections of the server for single
 * rules.
 *
 * <p>Invariant: at most {@link #MAX_RULES} rules are remembered; once there are more, all are
 * forgotten. Times are monotonic nanoseconds given by the calling code. Safe for use by several
 * threads; lock-free except for single entries.
 */
final class RuleFailures {

  /** Maximum number of rules that are remembered. */
  static final int MAX_RULES = 256;

  /**
   * Time for which a success shows that the server serves a rule, in nanoseconds: some requests of
   * a rule with little traffic.
   */
  private static final long SOUND_NANOS = 5_000_000_000L;

  /** Failures of a rule in a row that may show a crash; a single one may be a coincidence. */
  private static final int MIN_FAILURES_OF_CRASH = 2;

  private static final double EWMA_WEIGHT = 0.15;

  // Without an ejection, the end is the smallest value. A rule fails since its first failure after
  // a
  // success; the time has no meaning if the last call did not fail.
  private record State(
      double failureShare,
      int failuresInRow,
      long lastNanos,
      long failingSinceNanos,
      int ejections,
      long ejectedUntilNanos) {

    static final State NEW = new State(0, 0, 0, 0, 0, Long.MIN_VALUE);

    boolean ejected(long nowNanos) {
      return nowNanos < ejectedUntilNanos;
    }

    State afterCall(boolean failed, long nowNanos) {
      boolean endsProbation = !failed && ejections > 0 && !ejected(nowNanos);
      if (endsProbation) {
        return new State(0, 0, nowNanos, 0, 0, Long.MIN_VALUE);
      }
      double share = failureShare + EWMA_WEIGHT * ((failed ? 1 : 0) - failureShare);
      long since = failuresInRow > 0 ? failingSinceNanos : nowNanos;
      int inRow = failed ? Math.min(MIN_FAILURES_OF_CRASH, failuresInRow + 1) : 0;
      return new State(share, inRow, nowNanos, since, ejections, ejectedUntilNanos);
    }
  }

  private final Map<RuleName, State> states = new ConcurrentHashMap<>();

  void afterCall(RuleName rule, boolean failed, long nowNanos) {
    if (states.size() >= MAX_RULES && !states.containsKey(rule)) {
      states.clear();
    }
    states.compute(rule, (key, old) -> (old == null ? State.NEW : old).afterCall(failed, nowNanos));
  }

  /**
   * Returns whether the server has lately served a request of another rule.
   *
   * @param rule a rule whose last call has failed
   * @param nowNanos the current time
   * @return whether it has. Once calls of this rule have failed in a row, only successes since the
   *     first of them count, because the server may have crashed after earlier ones
   */
  boolean servesOtherThan(RuleName rule, long nowNanos) {
    State failing = state(rule);
    boolean mayHaveCrashed = failing.failuresInRow() >= MIN_FAILURES_OF_CRASH;
    return states.entrySet().stream()
        .anyMatch(
            entry ->
                !entry.getKey().equals(rule)
                    && (!mayHaveCrashed
                        || entry.getValue().lastNanos() - failing.failingSinceNanos() >= 0)
                    && isSound(entry.getValue(), nowNanos));
  }

  private static boolean isSound(State state, long nowNanos) {
    return state.failuresInRow() == 0
        && state.failureShare() <= Ejection.MAX_FAILURE_SHARE
        && nowNanos - state.lastNanos() < SOUND_NANOS;
  }

  boolean isFailing(RuleName rule, long nowNanos) {
    return state(rule).failureShare() > Ejection.MAX_FAILURE_SHARE || onProbation(rule, nowNanos);
  }

  boolean ejected(RuleName rule, long nowNanos) {
    return state(rule).ejected(nowNanos);
  }

  boolean onProbation(RuleName rule, long nowNanos) {
    State state = state(rule);
    return state.ejections() > 0 && !state.ejected(nowNanos);
  }

  int ejections(RuleName rule) {
    return state(rule).ejections();
  }

  void eject(RuleName rule, long untilNanos) {
    states.computeIfPresent(
        rule,
        (key, old) ->
            new State(
                old.failureShare(),
                old.failuresInRow(),
                old.lastNanos(),
                old.failingSinceNanos(),
                old.ejections() + 1,
                untilNanos));
  }

  private State state(RuleName rule) {
    return states.getOrDefault(rule, State.NEW);
  }
}
