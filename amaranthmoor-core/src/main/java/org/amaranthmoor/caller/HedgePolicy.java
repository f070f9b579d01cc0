package org.amaranthmoor.caller;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;

/**
 * Decides whether a slow request is sent to a second target, and when.
 *
 * <p>Answers a load in which a small part of the requests takes several times as long as the
 * others, because their target is in a slow phase, has stalled or has lost the request, while other
 * targets have capacity left. A copy is due once the request has taken longer than the {@code 1 -
 * share} quantile of the recent times of its rule, so that about the allowed share of the requests
 * needs one. In a load beyond the capacity of the targets, copies would delay other requests: none
 * is sent while the targets refuse many requests, while this node is overloaded, or while the retry
 * budget is low.
 *
 * <p>Invariants: only requests that may be run again are copied, each at most once; the copies of a
 * rule are at most {@code share * requests + }{@value #BURST} in any period; each copy is also
 * taken from the retry budget of the service. Safe for use by several threads.
 */
public final class HedgePolicy {

  /** Number of copies of a rule that may be saved up. */
  static final int BURST = 2;

  /** Answers of a rule from which on its quantile counts as known. */
  static final int MIN_SAMPLES = 30;

  /** Largest share of copies that an operator may allow: more would double the load at times. */
  public static final double MAX_SHARE = 0.5;

  /** Share of refused requests from which on the targets count as full. */
  private static final double MAX_REFUSED_SHARE = 0.1;

  /** Number of recent requests from which on their refused share is meaningful. */
  private static final double MIN_RECENT_REQUESTS = 5;

  /** Time in which the weight of earlier requests falls to a third, in nanoseconds. */
  private static final double RECENT_NANOS = 1e9;

  /** Most rules whose times are kept. */
  private static final int MAX_RULES = 10_000;

  /** Why a copy is or is not sent. */
  public enum Decision {
    /** The copy is sent. */
    SEND,
    /** The request may not be run again, or cannot be sent again as a whole. */
    NOT_REPEATABLE,
    /** No further target may get the request. */
    NO_TARGET,
    /** This node is short of processor time or memory. */
    NODE_OVERLOADED,
    /** The targets refuse many requests. */
    TARGETS_FULL,
    /** The share that the operator allows is used up. */
    LIMIT_REACHED,
    /** The retry budget of the service is low. */
    RETRY_BUDGET_LOW
  }

  /**
   * Facts about a request on which the decision depends.
   *
   * @param idempotent whether the request may be run again
   * @param replayable whether the whole request can be sent again
   * @param anotherTarget whether a further target may get the request
   * @param nodeOverloaded whether this node is short of processor time or memory
   */
  public record Facts(
      boolean idempotent, boolean replayable, boolean anotherTarget, boolean nodeOverloaded) {}

  private static final class RuleState {

    private final QuantileEstimator times;
    private double copies = BURST;
    private double ended;
    private double refusals;
    private long updatedNanos;

    RuleState(double quantile, long nowNanos) {
      this.times = new QuantileEstimator(quantile);
      this.updatedNanos = nowNanos;
    }

    void decay(long nowNanos) {
      double factor = Math.exp(-Math.max(0, nowNanos - updatedNanos) / RECENT_NANOS);
      ended *= factor;
      refusals *= factor;
      updatedNanos = nowNanos;
    }

    boolean targetsFull() {
      return ended >= MIN_RECENT_REQUESTS && refusals > MAX_REFUSED_SHARE * ended;
    }
  }

  private final double share;
  private final Map<RuleName, RuleState> byRule = new ConcurrentHashMap<>();

  /**
   * Creates a policy.
   *
   * @param share copies per request that the operator allows, from 0 to {@link #MAX_SHARE}; 0 for
   *     none
   */
  public HedgePolicy(double share) {
    if (!(share >= 0 && share <= MAX_SHARE)) {
      throw new IllegalArgumentException(
          "share must be from 0 to " + MAX_SHARE + ", but was: " + share);
    }
    this.share = share;
  }

  /** {@return whether any copy may be sent} */
  public boolean isEnabled() {
    return share > 0;
  }

  /**
   * Records a request, which earns its share of a copy.
   *
   * @param rule the rule of the request
   * @param nowNanos the current time
   */
  public void onRequest(RuleName rule, long nowNanos) {
    if (!isEnabled()) {
      return;
    }
    RuleState state = state(rule, nowNanos);
    synchronized (state) {
      state.copies = Math.min(BURST, state.copies + share);
    }
  }

  /**
   * Records that a request has ended.
   *
   * @param rule the rule of the request
   * @param refused whether no target took it
   * @param nowNanos the current time
   */
  public void onRequestEnd(RuleName rule, boolean refused, long nowNanos) {
    if (!isEnabled()) {
      return;
    }
    RuleState state = state(rule, nowNanos);
    synchronized (state) {
      state.decay(nowNanos);
      state.ended++;
      state.refusals += refused ? 1 : 0;
    }
  }

  /**
   * Records how long an attempt took until its answer. An attempt that was given up for a faster
   * copy counts with the time at which it was given up, as its own time is longer.
   *
   * @param rule the rule of the request
   * @param durationNanos the time in nanoseconds
   * @param nowNanos the current time
   */
  public void onAnswer(RuleName rule, long durationNanos, long nowNanos) {
    if (!isEnabled()) {
      return;
    }
    RuleState state = state(rule, nowNanos);
    synchronized (state) {
      state.times.add(Math.max(1, durationNanos));
    }
  }

  /**
   * Returns the time after which a copy of a request is due.
   *
   * @param rule the rule of the request
   * @param nowNanos the current time
   * @return the time since the request was sent to its first target, in nanoseconds; empty if no
   *     copy is ever due
   */
  public OptionalLong delayNanos(RuleName rule, long nowNanos) {
    if (!isEnabled()) {
      return OptionalLong.empty();
    }
    RuleState state = state(rule, nowNanos);
    synchronized (state) {
      return state.times.samples() < MIN_SAMPLES
          ? OptionalLong.empty()
          : OptionalLong.of(state.times.nanos());
    }
  }

  /**
   * Decides on a copy that is due, and takes it from the limit and from the retry budget if it is
   * sent.
   *
   * @param rule the rule of the request
   * @param facts facts about the request
   * @param budget the retry budget of the service
   * @param nowNanos the current time
   * @return the decision
   */
  public Decision decide(RuleName rule, Facts facts, RetryBudget budget, long nowNanos) {
    if (!isEnabled()) {
      return Decision.LIMIT_REACHED;
    }
    if (!facts.idempotent() || !facts.replayable()) {
      return Decision.NOT_REPEATABLE;
    }
    if (!facts.anotherTarget()) {
      return Decision.NO_TARGET;
    }
    if (facts.nodeOverloaded()) {
      return Decision.NODE_OVERLOADED;
    }
    RuleState state = state(rule, nowNanos);
    synchronized (state) {
      state.decay(nowNanos);
      if (state.targetsFull()) {
        return Decision.TARGETS_FULL;
      }
      if (state.copies < 1) {
        return Decision.LIMIT_REACHED;
      }
      if (!budget.tryHedge()) {
        return Decision.RETRY_BUDGET_LOW;
      }
      state.copies--;
      return Decision.SEND;
    }
  }

  private RuleState state(RuleName rule, long nowNanos) {
    if (byRule.size() >= MAX_RULES) {
      byRule.clear();
    }
    return byRule.computeIfAbsent(rule, key -> new RuleState(1 - share, nowNanos));
  }
}
