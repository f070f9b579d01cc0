package org.amaranthmoor.target;

import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthmoor.model.RuleName;

/**
 * Circuit breaker for this node's target, driven by the results of its requests.
 *
 * <p>Detects a target that hangs or has crashed. Once none of the last requests was answered, the
 * target counts as failing: single requests are let through at intervals as trials, until enough of
 * them are answered. A target that fails only some of its requests stays in use, because in a burst
 * the answered ones are better than none; the entry sides prefer other targets.
 *
 * <p>Failures are counted by rule too, because a target may fail all requests of one rule and serve
 * the others. A rule whose requests have failed in a row is closed by itself. Of a failing target,
 * the rules are closed that have failures of their own, so that a rule with many requests does not
 * close the others; a target that accepts no connection or does not answer is closed to all. When a
 * failing target recovers, each rule is open again until its next failure.
 *
 * <p>Invariant: at most {@link #MAX_RULES} rules are remembered, only such with failures, and the
 * least recently used is forgotten first. Safe for use by several threads.
 */
public final class TargetHealth {

  /** Consecutive failures from which the target counts as failing. */
  private static final int FAILURE_THRESHOLD = 12;

  /** Failures that one missing answer counts for, because it takes a slot until the deadline. */
  private static final int FAILURES_PER_TIMEOUT = 3;

  /** Failures below which a failing target is used again; each success halves their number. */
  private static final int RECOVERED_FAILURES = 4;

  /**
   * Consecutive failures of a rule from which it is closed if the target is failing. A single one
   * may be a coincidence.
   */
  private static final int RULE_FAILURES_IF_TARGET_FAILS = 2;

  /** Maximum number of rules that are remembered. */
  static final int MAX_RULES = 256;

  /** Time between two trial requests to a failing target, in nanoseconds. */
  private static final long TRIAL_INTERVAL_NANOS = 400_000_000L;

  /**
   * Time without any trial after which a request that is not idempotent serves as one, in
   * nanoseconds. The requests of a rule, or of the target, may all be such, so that without these
   * trials it would be closed for good; each may cost a caller its request.
   */
  private static final long UNSAFE_TRIAL_INTERVAL_NANOS = 2_000_000_000L;

  /** Time until the next trial after the target refused a connection, in nanoseconds. */
  private static final long CONNECTION_REFUSED_PAUSE_NANOS = 200_000_000L;

  // Counts the consecutive failures of the target, or of one rule. Guarded by the health's lock.
  private static final class Breaker {
    private int failures;
    private boolean failing;
    private long nextTrialNanos;
    private long nextUnsafeTrialNanos;
    private boolean hasIdempotentTrials;

    boolean allowsTrial(boolean idempotent, long nowNanos) {
      if (nowNanos < (idempotent ? nextTrialNanos : nextUnsafeTrialNanos)) {
        return false;
      }
      nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
      nextUnsafeTrialNanos = nowNanos + UNSAFE_TRIAL_INTERVAL_NANOS;
      hasIdempotentTrials = idempotent;
      return true;
    }

    // Returns whether this has just become failing.
    boolean onFailures(int count, long nowNanos) {
      boolean before = failing;
      failures = Math.min(FAILURE_THRESHOLD, failures + count);
      failing |= failures >= FAILURE_THRESHOLD;
      if (!before) {
        nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
      }
      nextUnsafeTrialNanos = nowNanos + UNSAFE_TRIAL_INTERVAL_NANOS;
      return failing != before;
    }

    // Returns whether this has just recovered.
    boolean onSuccess(long nowNanos) {
      nextUnsafeTrialNanos = hasIdempotentTrials ? nextUnsafeTrialNanos : nowNanos;
      failures = failing ? failures / 2 : 0;
      boolean recovered = failing && failures < RECOVERED_FAILURES;
      failing = failing && !recovered;
      return recovered;
    }

    // Opens this until the next failure.
    void reopen() {
      failing = false;
      failures = Math.min(failures, FAILURE_THRESHOLD - 1);
    }
  }

  private static final class BreakersByRule extends LinkedHashMap<RuleName, Breaker> {
    private static final long serialVersionUID = 1;

    BreakersByRule() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<RuleName, Breaker> eldest) {
      return size() > MAX_RULES;
    }
  }

  private final BreakersByRule rules = new BreakersByRule();
  private Breaker target = new Breaker();
  private boolean closedToAll;
  private boolean answered;
  private long lastAnswerNanos;

  /** Creates the health of a target without failures. */
  public TargetHealth() {}

  /** Resets the health for a new run of the target. */
  public synchronized void reset() {
    rules.clear();
    target = new Breaker();
    closedToAll = false;
    answered = false;
  }

  /**
   * Decides whether a request whose rule is not known may be sent to the target.
   *
   * @param idempotent whether the request may be run again
   * @param nowNanos the current time
   * @return whether it may be sent
   */
  public boolean allowsRequest(boolean idempotent, long nowNanos) {
    return allowsRequest(RuleName.NONE, idempotent, nowNanos);
  }

  /**
   * Decides whether a request may be sent to the target.
   *
   * @param rule the rule of the request
   * @param idempotent whether the request may be run again, so that it may be lost without harm and
   *     may serve as a trial of a failing target
   * @param nowNanos the current time
   * @return whether it may be sent
   */
  public synchronized boolean allowsRequest(RuleName rule, boolean idempotent, long nowNanos) {
    if (closedToAll) {
      return target.allowsTrial(idempotent, nowNanos);
    }
    Breaker breaker = rules.get(rule);
    boolean closed =
        breaker != null
            && (breaker.failing
                || (target.failing && breaker.failures >= RULE_FAILURES_IF_TARGET_FAILS));
    if (!closed) {
      return true;
    }
    // One interval for all rules, so that the trials do not grow with the rules that fail.
    if (target.failing) {
      return target.allowsTrial(idempotent, nowNanos);
    }
    return breaker.allowsTrial(idempotent, nowNanos);
  }

  /**
   * Records the end of a request whose rule is not known.
   *
   * @param failed whether the target failed the request
   * @param nowNanos the current time
   * @return whether the target has just become failing, or has just recovered
   */
  public boolean onExchangeEnd(boolean failed, long nowNanos) {
    return onExchangeEnd(RuleName.NONE, failed, nowNanos);
  }

  /**
   * Records the end of a request at the target.
   *
   * @param rule the rule of the request
   * @param failed whether the target failed the request
   * @param nowNanos the current time
   * @return whether the target or the rule has just become failing, or has just recovered
   */
  public synchronized boolean onExchangeEnd(RuleName rule, boolean failed, long nowNanos) {
    if (failed) {
      return onFailures(rule, 1, nowNanos);
    }
    answered = true;
    lastAnswerNanos = nowNanos;
    boolean recovered = target.onSuccess(nowNanos);
    if (recovered) {
      closedToAll = false;
      rules.values().forEach(Breaker::reopen);
    }
    Breaker breaker = rules.get(rule);
    if (breaker != null) {
      recovered |= breaker.onSuccess(nowNanos);
      if (breaker.failures == 0) {
        rules.remove(rule);
      }
    }
    return recovered;
  }

  private boolean onFailures(RuleName rule, int count, long nowNanos) {
    boolean targetChanged = target.onFailures(count, nowNanos);
    return rules.computeIfAbsent(rule, key -> new Breaker()).onFailures(count, nowNanos)
        || targetChanged;
  }

  /**
   * Records that the target did not answer a request whose rule is not known.
   *
   * @param startNanos when the request was handed over
   * @param nowNanos the current time
   * @return whether the target has just become failing
   */
  public boolean onTimeout(long startNanos, long nowNanos) {
    return onTimeout(RuleName.NONE, startNanos, nowNanos);
  }

  /**
   * Records that the target did not answer before a request's deadline.
   *
   * <p>This does not count if the target answered other requests in the meantime. Such a target is
   * slow, as after its start or in a burst, but does not hang, and callers would lose its slots if
   * it counted as failing.
   *
   * @param rule the rule of the request
   * @param startNanos when the request was handed over
   * @param nowNanos the current time
   * @return whether the target or the rule has just become failing
   */
  public synchronized boolean onTimeout(RuleName rule, long startNanos, long nowNanos) {
    boolean answeredOthers = answered && lastAnswerNanos - startNanos > 0;
    if (answeredOthers) {
      return false;
    }
    boolean changed = onFailures(rule, FAILURES_PER_TIMEOUT, nowNanos);
    closedToAll |= target.failing;
    return changed;
  }

  /**
   * Records that the target refused a connection, which makes it failing immediately.
   *
   * @param nowNanos the current time
   * @return whether the target has just become failing
   */
  public synchronized boolean onConnectionRefused(long nowNanos) {
    boolean before = target.failing;
    target.failing = true;
    target.failures = FAILURE_THRESHOLD;
    // A request whose connection is refused has not run, so any may be the next trial.
    target.nextTrialNanos = nowNanos + CONNECTION_REFUSED_PAUSE_NANOS;
    target.nextUnsafeTrialNanos = target.nextTrialNanos;
    closedToAll = true;
    return !before;
  }

  /** {@return whether the target is failing, so that only trial requests are sent to it} */
  public synchronized boolean failing() {
    return target.failing;
  }

  /**
   * Returns whether the requests of a rule fail.
   *
   * @param rule the rule
   * @return whether the target is failing, or fails the requests of this rule
   */
  public synchronized boolean failing(RuleName rule) {
    Breaker breaker = rules.get(rule);
    return target.failing || (breaker != null && breaker.failing);
  }
}
