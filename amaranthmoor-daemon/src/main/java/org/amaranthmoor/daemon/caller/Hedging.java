package org.amaranthmoor.daemon.caller;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.amaranthmoor.caller.HedgePolicy;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;

/**
 * Supplies {@link HedgePolicy} with what happens at an entry side, and counts and logs its
 * decisions. Safe for use by several threads.
 */
public final class Hedging {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final HedgePolicy policy;
  private final BooleanSupplier nodeOverloaded;
  private final TimeSource time;
  private final EventLog log;
  private final Map<HedgePolicy.Decision, AtomicLong> decisions =
      new EnumMap<>(HedgePolicy.Decision.class);
  private final AtomicLong used = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();

  /**
   * Creates an instance, which registers its metrics if the policy allows any copy.
   *
   * @param policy decides on copies
   * @param nodeOverloaded whether this node is short of processor time or memory
   * @param metrics counts copies
   * @param time the clock
   * @param log receives decisions
   */
  public Hedging(
      HedgePolicy policy,
      BooleanSupplier nodeOverloaded,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log) {
    this.policy = policy;
    this.nodeOverloaded = nodeOverloaded;
    this.time = time;
    this.log = log;
    for (HedgePolicy.Decision decision : HedgePolicy.Decision.values()) {
      decisions.put(decision, new AtomicLong());
    }
    if (policy.isEnabled()) {
      register(metrics);
    }
  }

  private void register(NodeMetrics metrics) {
    decisions.forEach(
        (decision, count) ->
            metrics.registerCounter(
                "amaranthmoor.hedges",
                "Decisions on copies of slow requests",
                count::get,
                "decision",
                label(decision)));
    metrics.registerCounter(
        "amaranthmoor.hedges.used", "Copies whose outcome the caller got", used::get);
    metrics.registerCounter(
        "amaranthmoor.hedges.cancelled", "Copies cancelled before their outcome", cancelled::get);
  }

  private static String label(HedgePolicy.Decision decision) {
    return decision.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }

  /** Records a request, which earns its share of a copy. */
  void onRequest(CallRequest request) {
    policy.onRequest(request.rule(), time.nanos());
  }

  /**
   * Records how long a first attempt at a request took until the answer was there.
   *
   * @param request the request
   * @param durationNanos the time in nanoseconds
   */
  void onAnswer(CallRequest request, long durationNanos) {
    policy.onAnswer(request.rule(), durationNanos, time.nanos());
  }

  /**
   * Records how a request ended.
   *
   * @param request the request
   * @param outcome its outcome
   */
  void onRequestEnd(CallRequest request, Outcome<CallResponse> outcome) {
    policy.onRequestEnd(request.rule(), isRefusedForLackOfRoom(outcome), time.nanos());
  }

  // A single target that refuses may only be in a slow phase; if no target takes a request, all are
  // short of room.
  private static boolean isRefusedForLackOfRoom(Outcome<CallResponse> outcome) {
    return outcome instanceof Outcome.NotRun<CallResponse> notRun
        && notRun.code() != ResultCode.QUOTA_EXCEEDED;
  }

  /**
   * Returns when a copy of a request is due.
   *
   * @param request the request, as it is sent to its first server
   * @param startNanos when it is sent, in monotonic nanoseconds
   * @return the time in monotonic nanoseconds; empty if no copy may be sent
   */
  OptionalLong dueNanos(CallRequest request, long startNanos) {
    boolean mayBeCopied =
        request.idempotent()
            && request.bodyComplete()
            && request.key().isEmpty()
            && request.attempt() < request.maxAttempts();
    OptionalLong delay =
        mayBeCopied ? policy.delayNanos(request.rule(), startNanos) : OptionalLong.empty();
    return delay.isPresent() && startNanos + delay.getAsLong() - request.deadlineNanos() < 0
        ? OptionalLong.of(startNanos + delay.getAsLong())
        : OptionalLong.empty();
  }

  /**
   * Decides on a copy that is due.
   *
   * @param request the request
   * @param anotherServer whether there is a further server to try
   * @param budget the retry budget of the service
   * @return whether to send it
   */
  boolean decide(CallRequest request, boolean anotherServer, RetryBudget budget) {
    HedgePolicy.Facts facts =
        new HedgePolicy.Facts(
            request.idempotent(),
            request.bodyComplete(),
            anotherServer,
            nodeOverloaded.getAsBoolean());
    HedgePolicy.Decision decision = policy.decide(request.rule(), facts, budget, time.nanos());
    decisions.get(decision).incrementAndGet();
    log.requestSucceeded(
        "hedge-decided",
        () -> "id=" + request.id() + " rule=" + request.rule() + " decision=" + label(decision));
    return decision == HedgePolicy.Decision.SEND;
  }

  /**
   * Records how a copy ended.
   *
   * @param request the request
   * @param node the node to which the copy was sent
   * @param outcome the outcome for the log line, or "cancelled"
   * @param isUsed whether the caller gets its outcome
   * @param durationNanos how long it took, in nanoseconds
   */
  void onCopyEnd(
      CallRequest request, String node, String outcome, boolean isUsed, long durationNanos) {
    (isUsed ? used : cancelled).incrementAndGet();
    log.requestSucceeded(
        "hedge-ended",
        () ->
            "id="
                + request.id()
                + " rule="
                + request.rule()
                + " node="
                + node
                + " end="
                + outcome
                + " used="
                + isUsed
                + " ms="
                + durationNanos / NANOS_PER_MILLI);
  }
}
