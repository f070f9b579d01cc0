package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.TeamName;

/**
 * Admits, queues or refuses the requests to one target, based on its exact load.
 *
 * <p>Four situations shape the decisions:
 *
 * <ul>
 *   <li>Bursts beyond the target's capacity. A request that is not expected to end in time is
 *       refused immediately, so that it can be sent elsewhere, and slots go to requests that can
 *       still end in time.
 *   <li>Slow phases of a target that reports its speed. Work that would be late in a slow phase is
 *       not started in one: it waits for the end of the phase or is refused. The speed is probed if
 *       the last report is old. After a restart nothing is known about the target: the speed is
 *       probed before the first request starts, service times measured at an unknown speed are
 *       ignored, and a refusal that is based on an old report starts a probe for the next request.
 *   <li>A target that states a rate limit, or that is cold and fails under its usual load. Requests
 *       start no faster than the limit, nested ones first, and a refusal carries the time of the
 *       next start. The speed is not probed, because the target may count the probe as a request.
 *   <li>A team that sends many times its usual load. Within a priority, requests of a team that has
 *       recently used more than its weighted share of this target wait behind all others, and are
 *       the ones that are displaced from a full queue. A free slot is never withheld for this.
 *       Nested requests belong to no team and are not affected. With one team only, or none, the
 *       order is by priority, objective and arrival.
 * </ul>
 *
 * <p>Invariants: at most {@link Limits#concurrency()} requests are admitted and not released,
 * except that {@link Waiter#nested} ones may use the slots beyond; a waiter gets exactly one final
 * decision; the wait for the speed is at most {@link #SPEED_WAIT_NANOS}, however the probe ends, if
 * waiters call {@link #recheck}. Waiters are notified outside the lock. Safe for use by several
 * threads.
 */
public final class Admission {

  /** Weight of a new sample in the smoothed service time of all requests. */
  private static final double SERVICE_TIME_WEIGHT = 0.1;

  /**
   * Lower limit of initial estimates, and the estimate if the limits give none: a small request.
   */
  private static final double INITIAL_SERVICE_TIME_NANOS = 5_000_000.0;

  /** Expected remaining time of an overdue request, as a share of its expected duration. */
  private static final double OVERDUE_REST_SHARE = 0.25;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double HUNDREDTHS_PER_UNIT = 100;

  /** Maximum retry-after time of a refusal, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 30_000;

  private static final double PERCENT = 100;
  private static final long MAX_LOGGED_AGE_MILLIS = 99_999;

  /**
   * Longest wait for a slot of a request that cannot end before its objective, in nanoseconds. One
   * that waits longer takes a slot from others without benefit to its caller.
   */
  private static final long MAX_LATE_WAIT_NANOS = 100_000_000L;

  /**
   * Time for which late requests get no slot after a request that could have ended in time found
   * none, in nanoseconds: about the time after which a refused caller retries.
   */
  private static final long CONTENTION_NANOS = 250_000_000L;

  /**
   * Longest wait for the result of a speed probe, in nanoseconds: the probe's time limit for
   * connecting, and the same time again for the answer.
   */
  public static final long SPEED_WAIT_NANOS = 120_000_000L;

  /**
   * Rank above which the use of a flow changes the order. Random arrivals of flows at their usual
   * load lead to lower ranks, and the order by objective then serves more requests in time.
   */
  private static final double MIN_EXCESS = 1.25;

  /** Maximum number of rules whose service times are estimated. */
  private static final int MAX_ESTIMATED_RULES = 10_000;

  /**
   * Capacity of the target.
   *
   * @param slots number of requests that the target can run at once, at least 1
   * @param queue number of requests that may wait, at least 0
   * @param concurrency number of requests handed over at once, from 1 to the slots; fewer than the
   *     slots if the target slows down when nearly all of them are used
   * @param initialWorkShare share of the time until its objective that the first request of a rule
   *     is expected to take; 0 for a small fixed estimate
   */
  public record Limits(int slots, int queue, int concurrency, double initialWorkShare) {
    /** Validates the limits. */
    public Limits {
      if (slots < 1 || queue < 0) {
        throw new IllegalArgumentException(
            "slots must be at least 1 and queueLimit at least 0, but were: "
                + slots
                + ", "
                + queue);
      }
      if (concurrency < 1 || concurrency > slots) {
        throw new IllegalArgumentException(
            "concurrency must be from 1 to " + slots + ", but was: " + concurrency);
      }
    }
  }

  /** Decision on a request. */
  public sealed interface Decision {
    /** The request has a slot, which must be released. */
    record Admitted() implements Decision {}

    /** The request waits; the waiter is notified of the final decision. */
    record Queued() implements Decision {}

    /**
     * The request is not run.
     *
     * @param code the reason
     * @param retryAfterMillis time until the caller should retry, in milliseconds
     */
    record Refused(ResultCode code, long retryAfterMillis) implements Decision {}
  }

  /** A request that may have to wait for its decision. */
  public interface Waiter {

    /** {@return its priority} */
    Priority priority();

    /** {@return its deadline in monotonic nanoseconds} */
    long deadlineNanos();

    /** {@return the rule it matched; requests of one rule are expected to take similar time} */
    default RuleName rule() {
      return RuleName.NONE;
    }

    /**
     * {@return whether a running request of a target waits for this one, so that it is worth
     * running even if it ends after its objective}
     */
    default boolean nested() {
      return false;
    }

    /** {@return the team whose share of the target it uses; empty if it belongs to no team} */
    default Optional<TeamName> team() {
      return Optional.empty();
    }

    /** {@return the time by which it must end to count as in time, in monotonic nanoseconds} */
    default long objectiveNanos() {
      return deadlineNanos();
    }

    /**
     * {@return longest acceptable wait, in percent of the time that its expected work leaves until
     * its objective; 0 to accept any wait after which it can end before its deadline}
     */
    default int maxWaitPercent() {
      return 0;
    }

    /** Notifies the request that it has a slot, which must be released. */
    void admitted();

    /**
     * Notifies the request that it is not run.
     *
     * @param refusal the reason
     */
    void refused(Decision.Refused refusal);
  }

  private record QueuedRequest(
      Waiter waiter,
      long arrivalNumber,
      long arrivedNanos,
      double initialEstimateNanos,
      double latestEndNanos) {

    boolean isOfFlow(Optional<TeamName> flow) {
      return !waiter.nested() && waiter.team().equals(flow);
    }
  }

  // The factor counts as fresh if it was based on a current report when the work began.
  private record RunningRequest(
      double workNanos,
      double initialEstimateNanos,
      double factor,
      boolean factorFresh,
      long startNanos,
      long endNanos) {}

  private static final Comparator<QueuedRequest> OBJECTIVE_ORDER =
      Comparator.comparingLong((QueuedRequest queued) -> queued.waiter().objectiveNanos())
          .thenComparingLong(QueuedRequest::arrivalNumber);

  private static final Comparator<QueuedRequest> PRIORITY_ORDER =
      Comparator.comparing(queued -> queued.waiter().priority());

  /** Order of requests that share the target with no other flow. */
  private static final Comparator<QueuedRequest> SINGLE_FLOW_ORDER =
      PRIORITY_ORDER.thenComparing(OBJECTIVE_ORDER);

  // Under a rate limit, nested requests go first, because their refusal fails a running one too.
  private static final Comparator<QueuedRequest> NESTED_FIRST =
      Comparator.comparing(queued -> !queued.waiter().nested());

  private final RetryAfterCalculator retryAfter;
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
  private final SlowdownEstimator slowdown = new SlowdownEstimator();
  private final TargetRateLimiter rateLimiter;
  private final FairShareTracker fairShares;
  // In the order of a single flow.
  private final List<QueuedRequest> queue = new ArrayList<>();
  // Requests that wait behind others because of their flow, as of the last ranking.
  private Map<QueuedRequest, Double> ranks = Map.of();
  private final Map<Waiter, RunningRequest> running = new HashMap<>();
  private final Set<Waiter> notHandedOver = new HashSet<>();
  private Limits limits;
  private ColdStart coldStart = ColdStart.UNLIMITED;
  private long arrivals;
  private boolean contended;
  private long contendedNanos;
  private boolean contendedWithinShare;
  private long contendedWithinShareNanos;
  private double serviceTimeNanos = INITIAL_SERVICE_TIME_NANOS;
  private Optional<ResultCode> closedWith = Optional.empty();
  private Optional<Runnable> speedProbe = Optional.empty();

  /**
   * Creates an admission with nothing in flight, whose concurrency equals the slots.
   *
   * @param slots number of requests that the target can run at once, at least 1
   * @param queueLimit number of requests that may wait, at least 0
   * @param random source of randomness for retry-after times
   * @param nowNanos the current time
   */
  public Admission(int slots, int queueLimit, RandomGenerator random, long nowNanos) {
    this(new Limits(slots, queueLimit, Math.max(1, slots), 0), random, nowNanos);
  }

  /**
   * Creates an admission with nothing in flight, for which all teams have the same weight.
   *
   * @param limits the target's capacity
   * @param random source of randomness for retry-after times
   * @param nowNanos the current time
   */
  public Admission(Limits limits, RandomGenerator random, long nowNanos) {
    this(limits, team -> 1, random, nowNanos);
  }

  /**
   * Creates an admission with nothing in flight.
   *
   * @param limits the target's capacity
   * @param weights the positive weight of a team, and of all requests without one; may change
   * @param random source of randomness for retry-after times
   * @param nowNanos the current time
   */
  public Admission(
      Limits limits,
      ToDoubleFunction<Optional<TeamName>> weights,
      RandomGenerator random,
      long nowNanos) {
    this.limits = limits;
    this.fairShares = new FairShareTracker(weights, nowNanos);
    this.retryAfter = new RetryAfterCalculator(random, nowNanos);
    this.rateLimiter = new TargetRateLimiter(nowNanos);
  }

  /**
   * Decides on a request that arrived.
   *
   * @param waiter the request
   * @param nowNanos the current time
   * @return the decision; only a queued waiter is notified later
   */
  public Decision offer(Waiter waiter, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    Decision decision;
    try {
      synchronized (this) {
        decision = decide(waiter, nowNanos, callbacks);
        if (decision instanceof Decision.Refused refused) {
          probeSpeedAfterRefusal(refused, waiter, nowNanos, callbacks);
        }
      }
    } finally {
      callbacks.deliver();
    }
    return decision;
  }

  // Without a new report, the next request would be refused because of the same old one.
  private void probeSpeedAfterRefusal(
      Decision.Refused refused, Waiter waiter, long nowNanos, PendingCallbacks callbacks) {
    boolean refusedForTime =
        refused.code() == ResultCode.OVERLOADED || refused.code() == ResultCode.TOO_LATE_HERE;
    boolean slotFree = running.size() < limits.concurrency();
    double usualNanos =
        serviceTimes.expectedNanos(waiter.rule(), initialEstimateNanos(waiter, nowNanos), nowNanos);
    if (refusedForTime
        && slotFree
        && !slowdown.isFresh(nowNanos)
        && nowNanos + usualNanos <= waiter.objectiveNanos()) {
      probeSpeed(nowNanos, callbacks);
    }
  }

  private void probeSpeed(long nowNanos, PendingCallbacks callbacks) {
    if (!rateLimiter.isLimiting(nowNanos)) {
      speedProbe.ifPresent(callbacks.pending::add);
    }
  }

  private Comparator<QueuedRequest> order(long nowNanos) {
    Comparator<QueuedRequest> order =
        ranks.isEmpty()
            ? SINGLE_FLOW_ORDER
            : PRIORITY_ORDER.thenComparingDouble(this::rank).thenComparing(OBJECTIVE_ORDER);
    return rateLimiter.isLimiting(nowNanos) ? NESTED_FIRST.thenComparing(order) : order;
  }

  // The queue is kept in the order of a single flow.
  private List<QueuedRequest> inOrder(long nowNanos) {
    return ranks.isEmpty() ? queue : queue.stream().sorted(order(nowNanos)).toList();
  }

  // 0 for a request that goes before those of flows that use more than their share.
  private double rank(QueuedRequest request) {
    return ranks.getOrDefault(request, 0.0);
  }

  private boolean isOverShare(QueuedRequest request) {
    return rank(request) > 1;
  }

  // All requests have the same rank if no other flow is active, or if no flow clearly exceeds its
  // share.
  private void rankQueue(Optional<QueuedRequest> arriving, long nowNanos) {
    ranks = Map.of();
    boolean onlyWithoutTeam =
        fairShares.tracksNoTeam()
            && (arriving.isEmpty() || arriving.get().waiter().team().isEmpty())
            && hasNoTeam(queue);
    if (onlyWithoutTeam) {
      return;
    }
    List<QueuedRequest> requests = new ArrayList<>(queue);
    arriving.ifPresent(requests::add);
    requests.removeIf(request -> request.waiter().nested());
    if (requests.isEmpty()) {
      return;
    }
    List<Optional<TeamName>> flows =
        requests.stream().map(request -> request.waiter().team()).toList();
    FairShareTracker.Shares shares = fairShares.shares(flows, nowNanos);
    if (!shares.areShared()) {
      return;
    }
    requests.sort(SINGLE_FLOW_ORDER);
    Map<Optional<TeamName>, List<QueuedRequest>> byFlow = new HashMap<>();
    for (QueuedRequest request : requests) {
      byFlow.computeIfAbsent(request.waiter().team(), flow -> new ArrayList<>()).add(request);
    }
    ranks = new HashMap<>();
    byFlow.forEach(
        (flow, ofFlow) -> {
          List<Double> works =
              ofFlow.stream().map(request -> workNanos(request, nowNanos)).toList();
          List<Double> ranksOfFlow = shares.ranks(flow, works);
          for (int i = 0; i < ofFlow.size(); i++) {
            if (ranksOfFlow.get(i) > 0) {
              ranks.put(ofFlow.get(i), ranksOfFlow.get(i));
            }
          }
        });
    if (ranks.values().stream().noneMatch(rank -> rank > MIN_EXCESS)) {
      ranks = Map.of();
    }
  }

  // Without a stream, as each decision calls this in deployments without teams.
  private static boolean hasNoTeam(List<QueuedRequest> requests) {
    for (QueuedRequest request : requests) {
      if (request.waiter().team().isPresent()) {
        return false;
      }
    }
    return true;
  }

  private Decision decide(Waiter waiter, long nowNanos, PendingCallbacks callbacks) {
    if (closedWith.isPresent()) {
      return createRefusal(closedWith.get(), nowNanos);
    }
    if (waiter.deadlineNanos() <= nowNanos) {
      return createRefusal(ResultCode.DEADLINE_BEFORE_START, nowNanos);
    }
    QueuedRequest request = createRequest(waiter, nowNanos);
    rankQueue(Optional.of(request), nowNanos);
    boolean slotFree =
        hasSlot(request, nowNanos)
            && queue.stream()
                .noneMatch(q -> order(nowNanos).compare(q, request) < 0 && hasSlot(q, nowNanos));
    double startNanos = slotFree ? (double) nowNanos : expectedStartNanos(request, nowNanos);
    double endNanos = startNanos + expectedDurationNanos(request, nowNanos);
    if (!slotFree && endNanos > waiter.deadlineNanos()) {
      return createRefusal(ResultCode.OVERLOADED, nowNanos);
    }
    if (waiter.maxWaitPercent() > 0 && endNanos > request.latestEndNanos()) {
      if (!slotFree) {
        noteContention(request, nowNanos);
      }
      return createRefusal(lateCode(waiter, endNanos), nowNanos);
    }
    boolean late = endNanos > waiter.objectiveNanos() && !waiter.nested();
    if (late
        && (startNanos - nowNanos > MAX_LATE_WAIT_NANOS || recentlyContended(request, nowNanos))) {
      return createRefusal(ResultCode.OVERLOADED, nowNanos);
    }
    if (slotFree && speedAllowsStart(request, nowNanos)) {
      start(request, nowNanos);
      return new Decision.Admitted();
    }
    if (queue.size() >= limits.queue() && !displace(request, nowNanos, callbacks)) {
      return createRefusal(ResultCode.OVERLOADED, nowNanos);
    }
    enqueue(request, nowNanos);
    probeSpeedIfAwaited(nowNanos, callbacks);
    return new Decision.Queued();
  }

  private QueuedRequest createRequest(Waiter waiter, long nowNanos) {
    double initialEstimateNanos = initialEstimateNanos(waiter, nowNanos);
    double workNanos =
        slowdown.baselineDurationNanos(
            serviceTimes.expectedNanos(waiter.rule(), initialEstimateNanos, nowNanos), nowNanos);
    double slackNanos = Math.max(0, waiter.objectiveNanos() - nowNanos - workNanos);
    double latestEndNanos =
        waiter.maxWaitPercent() == 0
            ? (double) waiter.deadlineNanos()
            : Math.min(
                (double) waiter.objectiveNanos(),
                nowNanos + workNanos + slackNanos * waiter.maxWaitPercent() / PERCENT);
    return new QueuedRequest(waiter, ++arrivals, nowNanos, initialEstimateNanos, latestEndNanos);
  }

  // Distinguishes a request that could end in time with a longer maximum wait from one that cannot.
  private static ResultCode lateCode(Waiter waiter, double endNanos) {
    return endNanos > waiter.objectiveNanos() ? ResultCode.OVERLOADED : ResultCode.TOO_LATE_HERE;
  }

  // Ignores work that would be late even on an idle target, as after a cold start: keeping slots
  // free for it would not help.
  private void noteContention(QueuedRequest withoutSlot, long nowNanos) {
    double endNanos = nowNanos + expectedDurationNanos(withoutSlot, nowNanos);
    if (endNanos <= withoutSlot.waiter().objectiveNanos()) {
      contended = true;
      contendedNanos = nowNanos;
      if (!isOverShare(withoutSlot)) {
        contendedWithinShare = true;
        contendedWithinShareNanos = nowNanos;
      }
    }
  }

  // While requests that could end in time find no slot, a late one would only take one from them.
  // A request within the share of its flow gives way only to others that are.
  private boolean recentlyContended(QueuedRequest request, long nowNanos) {
    return isOverShare(request)
        ? contended && nowNanos - contendedNanos < CONTENTION_NANOS
        : contendedWithinShare && nowNanos - contendedWithinShareNanos < CONTENTION_NANOS;
  }

  // Work that ends in time only outside of a slow phase starts if a current report shows none, or
  // if no report can be had: the probe failed, the wait for it is over, or probes are not allowed.
  private boolean speedAllowsStart(QueuedRequest request, long nowNanos) {
    if (rateLimiter.needsWarmReport(nowNanos)) {
      return false;
    }
    if (!dependsOnSpeed(request, nowNanos)) {
      return true;
    }
    if (slowdown.isFresh(nowNanos)) {
      return !slowdown.isInSlowPhase(nowNanos);
    }
    boolean waitedEnough = nowNanos - request.arrivedNanos() >= SPEED_WAIT_NANOS;
    return slowdown.probeFailedRecently(nowNanos)
        || waitedEnough
        || rateLimiter.isLimiting(nowNanos);
  }

  // Whether the work ends in time outside of a slow phase but not within one. In time means before
  // its objective or, if that cannot be met, before its deadline.
  private boolean dependsOnSpeed(QueuedRequest request, long nowNanos) {
    if (speedProbe.isEmpty()) {
      return false;
    }
    double workNanos = workNanos(request, nowNanos);
    double bestNanos = slowdown.baselineDurationNanos(workNanos, nowNanos);
    double objectiveLeft = (double) (request.waiter().objectiveNanos() - nowNanos);
    double deadlineLeft = (double) (request.waiter().deadlineNanos() - nowNanos);
    double leftNanos = bestNanos <= objectiveLeft ? objectiveLeft : deadlineLeft;
    return bestNanos <= leftNanos && slowdown.isTooLongInSlowPhase(workNanos, leftNanos, nowNanos);
  }

  // A nested request is short compared to the running request that waits for it, and that one fails
  // without it. If waiting would make it late, it therefore uses a slot beyond the concurrency
  // limit, although the target slows down when all slots are used. No request has a slot before the
  // rate limit allows a start.
  private boolean hasSlot(QueuedRequest request, long nowNanos) {
    if (!rateLimiter.allowsStart(nowNanos)) {
      return false;
    }
    int used = running.size();
    boolean mayExceedLimit = request.waiter().nested() && used < limits.slots();
    return used < limits.concurrency() || (mayExceedLimit && isLateAfterWait(request, nowNanos));
  }

  private boolean isLateAfterWait(QueuedRequest request, long nowNanos) {
    double endNanos =
        expectedStartNanos(request, nowNanos) + expectedDurationNanos(request, nowNanos);
    return endNanos > request.waiter().objectiveNanos();
  }

  private void probeSpeedIfAwaited(long nowNanos, PendingCallbacks callbacks) {
    boolean waits = queue.stream().anyMatch(queued -> hasSlot(queued, nowNanos));
    if (waits && (!slowdown.isFresh(nowNanos) || rateLimiter.needsWarmReport(nowNanos))) {
      probeSpeed(nowNanos, callbacks);
    }
  }

  private double initialEstimateNanos(Waiter waiter, long nowNanos) {
    double share = limits.initialWorkShare();
    return share == 0
        ? INITIAL_SERVICE_TIME_NANOS
        : Math.max(
            INITIAL_SERVICE_TIME_NANOS, share * (double) (waiter.objectiveNanos() - nowNanos));
  }

  private double expectedDurationNanos(QueuedRequest request, long nowNanos) {
    double workNanos = workNanos(request, nowNanos);
    double immediateDurationNanos = slowdown.durationIfStartedNowNanos(workNanos, nowNanos);
    return slowdown.isInSlowPhase(nowNanos)
        ? Math.min(
            immediateDurationNanos, slowdown.durationAfterSlowPhaseNanos(workNanos, nowNanos))
        : immediateDurationNanos;
  }

  private double workNanos(QueuedRequest request, long nowNanos) {
    return serviceTimes.expectedNanos(
        request.waiter().rule(), request.initialEstimateNanos(), nowNanos);
  }

  // When a slot is expected to be free for the request, after those ahead of it in the queue.
  private double expectedStartNanos(QueuedRequest request, long nowNanos) {
    PriorityQueue<Double> slotFreeNanos = slotFreeNanos(nowNanos);
    int ahead = 0;
    Comparator<QueuedRequest> order = order(nowNanos);
    for (QueuedRequest other : inOrder(nowNanos)) {
      if (order.compare(other, request) < 0) {
        slotFreeNanos.add(slotFreeNanos.remove() + expectedDurationNanos(other, nowNanos));
        ahead++;
      }
    }
    return Math.max(
        slotFreeNanos.remove(), (double) (nowNanos + rateLimiter.waitNanos(ahead, nowNanos)));
  }

  private PriorityQueue<Double> slotFreeNanos(long nowNanos) {
    PriorityQueue<Double> slotFreeNanos = new PriorityQueue<>();
    for (RunningRequest run : running.values()) {
      double overdueNanos = nowNanos + OVERDUE_REST_SHARE * run.workNanos() * run.factor();
      slotFreeNanos.add(Math.max((double) run.endNanos(), overdueNanos));
    }
    while (slotFreeNanos.size() < limits.concurrency()) {
      slotFreeNanos.add((double) nowNanos);
    }
    return slotFreeNanos;
  }

  private void start(QueuedRequest request, long nowNanos) {
    double factor = slowdown.expectedFactor(nowNanos);
    double work = workNanos(request, nowNanos);
    long endNanos = nowNanos + (long) (work * factor);
    boolean fresh = slowdown.isFresh(nowNanos);
    RunningRequest run =
        new RunningRequest(work, request.initialEstimateNanos(), factor, fresh, nowNanos, endNanos);
    running.put(request.waiter(), run);
    rateLimiter.onStart(nowNanos);
    notHandedOver.add(request.waiter());
    charge(request.waiter(), work, nowNanos);
  }

  // A correction is charged as of the start, so that it decays as the charge that it corrects.
  private void charge(Waiter waiter, double workNanos, long chargedNanos) {
    if (!waiter.nested()) {
      fairShares.charge(waiter.team(), workNanos, chargedNanos);
    }
  }

  private void enqueue(QueuedRequest request, long nowNanos) {
    Comparator<QueuedRequest> order =
        rateLimiter.isLimiting(nowNanos)
            ? NESTED_FIRST.thenComparing(SINGLE_FLOW_ORDER)
            : SINGLE_FLOW_ORDER;
    int index = queue.size();
    while (index > 0 && order.compare(request, queue.get(index - 1)) < 0) {
      index--;
    }
    queue.add(index, request);
  }

  // Makes room in a full queue: refuses the newest waiter of the lowest priority, if that is below
  // the one of the request. Of several flows, the one that exceeds its share most loses a waiter,
  // also to a request of the same priority whose flow exceeds its share less.
  private boolean displace(QueuedRequest request, long nowNanos, PendingCallbacks callbacks) {
    if (queue.isEmpty()) {
      return false;
    }
    Priority lowest = queue.getLast().waiter().priority();
    List<QueuedRequest> candidates =
        queue.stream().filter(queued -> queued.waiter().priority() == lowest).toList();
    QueuedRequest mostOver =
        candidates.stream().max(Comparator.comparingDouble(this::rank)).orElseThrow();
    Optional<TeamName> flow = mostOver.waiter().team();
    int comparison = lowest.compareTo(request.waiter().priority());
    boolean displaces =
        comparison > 0
            || (comparison == 0
                && isOverShare(mostOver)
                && rank(mostOver) > rank(request)
                && !request.isOfFlow(flow));
    if (!displaces) {
      return false;
    }
    QueuedRequest newest =
        candidates.stream()
            .filter(queued -> !isOverShare(mostOver) || queued.isOfFlow(flow))
            .max(Comparator.comparingLong(QueuedRequest::arrivalNumber))
            .orElseThrow();
    queue.remove(newest);
    callbacks.refuse(newest.waiter(), createRefusal(ResultCode.OVERLOADED, nowNanos));
    return true;
  }

  private Decision.Refused createRefusal(ResultCode code, long nowNanos) {
    if (code == ResultCode.OVERLOADED && !rateLimiter.allowsStart(nowNanos)) {
      long waitNanos = rateLimiter.waitNanos(queue.size(), nowNanos);
      return new Decision.Refused(
          ResultCode.TARGET_LIMITED, 1 + Math.min(MAX_RETRY_MILLIS, waitNanos / NANOS_PER_MILLI));
    }
    long drainNanos = (long) (serviceTimeNanos * (queue.size() + 1) / limits.concurrency());
    return new Decision.Refused(code, retryAfter.onRefused(drainNanos, nowNanos));
  }

  /**
   * Records that an admitted request is handed over to the target now.
   *
   * @param waiter the request that has the slot
   * @param nowNanos the current time
   */
  public synchronized void onHandOver(Waiter waiter, long nowNanos) {
    if (notHandedOver.remove(waiter)) {
      rateLimiter.onHandOver(nowNanos);
    }
  }

  /**
   * Releases a slot and admits the next waiters that can still finish.
   *
   * @param waiter the request that had the slot
   * @param heldNanos how long the slot was held in nanoseconds, or a negative number if the target
   *     was not used
   * @param nowNanos the current time
   */
  public void release(Waiter waiter, long heldNanos, long nowNanos) {
    synchronized (this) {
      // The slot is free before anything is allocated, so that a full heap does not keep it.
      RunningRequest run = running.remove(waiter);
      boolean unused = notHandedOver.remove(waiter);
      if (unused) {
        rateLimiter.onNotHandedOver();
      }
      if (heldNanos < 0 && unused && run != null) {
        charge(waiter, -run.workNanos(), run.startNanos());
      }
      if (heldNanos >= 0 && run != null) {
        charge(waiter, heldNanos / run.factor() - run.workNanos(), run.startNanos());
        serviceTimeNanos += SERVICE_TIME_WEIGHT * (heldNanos - serviceTimeNanos);
        learnWork(waiter.rule(), run, heldNanos, nowNanos);
        retryAfter.onServed(nowNanos);
      }
    }
    recheck(nowNanos);
  }

  // Skips work that began without a current report of a target that reports its speed: the target
  // may have been in a slow phase.
  private void learnWork(RuleName rule, RunningRequest run, long heldNanos, long nowNanos) {
    if (run.factorFresh() || speedProbe.isEmpty() || !slowdown.hasReported()) {
      serviceTimes.onServed(rule, heldNanos / run.factor(), run.initialEstimateNanos(), nowNanos);
      serviceTimes.clearIfOver(MAX_ESTIMATED_RULES);
    }
  }

  private void admitNext(long nowNanos, PendingCallbacks callbacks) {
    rankQueue(Optional.empty(), nowNanos);
    refuseOutOfTime(nowNanos, callbacks);
    Optional<QueuedRequest> next = nextStartable(nowNanos);
    while (next.isPresent()) {
      startQueued(next.get(), nowNanos, callbacks);
      rankQueue(Optional.empty(), nowNanos);
      next = nextStartable(nowNanos);
    }
    probeSpeedIfAwaited(nowNanos, callbacks);
  }

  // A waiter has a slot, the charge for it and its notification, or none of them.
  private void startQueued(QueuedRequest request, long nowNanos, PendingCallbacks callbacks) {
    boolean charged = false;
    boolean started = false;
    try {
      start(request, nowNanos);
      charged = true;
      callbacks.admit(request.waiter());
      queue.remove(request);
      started = true;
    } finally {
      if (!started) {
        RunningRequest run = running.remove(request.waiter());
        if (notHandedOver.remove(request.waiter())) {
          rateLimiter.onNotHandedOver();
        }
        if (charged) {
          charge(request.waiter(), -run.workNanos(), run.startNanos());
        }
      }
    }
  }

  private void refuseOutOfTime(long nowNanos, PendingCallbacks callbacks) {
    int ahead = 0;
    for (QueuedRequest queued : List.copyOf(inOrder(nowNanos))) {
      Waiter waiter = queued.waiter();
      double startNanos = (double) (nowNanos + rateLimiter.waitNanos(ahead, nowNanos));
      double endNanos =
          startNanos + slowdown.baselineDurationNanos(workNanos(queued, nowNanos), nowNanos);
      Optional<ResultCode> code = Optional.empty();
      if (waiter.deadlineNanos() <= nowNanos) {
        code = Optional.of(ResultCode.DEADLINE_BEFORE_START);
      } else if (startNanos >= waiter.deadlineNanos()) {
        code = Optional.of(ResultCode.OVERLOADED);
      } else if (waiter.maxWaitPercent() > 0 && endNanos > queued.latestEndNanos()) {
        if (!hasSlot(queued, nowNanos)) {
          noteContention(queued, nowNanos);
        }
        code = Optional.of(lateCode(waiter, endNanos));
      }
      if (code.isPresent()) {
        queue.remove(queued);
        callbacks.refuse(waiter, createRefusal(code.get(), nowNanos));
      } else {
        ahead++;
      }
    }
  }

  // The first startable request that can end in time or, if there is none, the first startable one.
  // One that exceeds the share of its flow does not overtake one that is within its share.
  private Optional<QueuedRequest> nextStartable(long nowNanos) {
    List<QueuedRequest> startable =
        queue.stream()
            .filter(q -> hasSlot(q, nowNanos) && speedAllowsStart(q, nowNanos))
            .sorted(order(nowNanos))
            .toList();
    Optional<QueuedRequest> first = startable.stream().findFirst();
    Optional<QueuedRequest> inTime =
        startable.stream()
            .filter(
                q -> nowNanos + expectedDurationNanos(q, nowNanos) <= q.waiter().objectiveNanos())
            .findFirst();
    boolean overtakes =
        inTime.isPresent()
            && isOverShare(inTime.get())
            && !isOverShare(first.get())
            && first.get().waiter().priority().compareTo(inTime.get().waiter().priority()) <= 0;
    return inTime.isPresent() && !overtakes ? inTime : first;
  }

  /**
   * Sets the probe for the target's speed. Without one, speeds are used only as they are reported.
   *
   * @param probe starts one probe, which ends in {@link #onSlowdown} or {@link #onSpeedUnknown}
   */
  public synchronized void setSpeedProbe(Runnable probe) {
    speedProbe = Optional.of(probe);
  }

  /**
   * Returns whether requests wait for the end of a slow phase or for the target's speed, although a
   * slot is free for them.
   *
   * @param nowNanos the current time
   * @return whether any request does
   */
  public synchronized boolean waitsForSpeed(long nowNanos) {
    return queue.stream().anyMatch(queued -> hasSlot(queued, nowNanos));
  }

  /**
   * Admits requests that wait for the target's speed, because a probe of it failed.
   *
   * @param nowNanos the current time
   */
  public void onSpeedUnknown(long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    try {
      synchronized (this) {
        slowdown.onProbeFailed(nowNanos);
        admitNext(nowNanos, callbacks);
      }
    } finally {
      callbacks.deliver();
    }
  }

  /**
   * Decides again on the waiters, because the passing of time alone may allow some to start.
   * Waiters call this periodically, see {@link #recheckNanos}, so that none depends on a single
   * event.
   *
   * @param nowNanos the current time
   */
  public void recheck(long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    try {
      synchronized (this) {
        admitNext(nowNanos, callbacks);
      }
    } finally {
      callbacks.deliver();
    }
  }

  /**
   * Records the target's report of its current speed.
   *
   * @param factor 1 for the usual speed, 4 if work takes four times as long
   * @param nowNanos the current time
   */
  public void onSlowdown(double factor, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    try {
      synchronized (this) {
        slowdown.onReport(factor, nowNanos);
        admitNext(nowNanos, callbacks);
      }
    } finally {
      callbacks.deliver();
    }
  }

  /**
   * Records what an answer of the target states about the request rate that it accepts.
   *
   * @param stated the rate, or that there is none
   * @param sentNanos when the answered request was handed over
   * @param nowNanos the current time
   */
  public void onLimit(TargetNotice.Limit stated, long sentNanos, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    try {
      synchronized (this) {
        switch (stated) {
          case TargetNotice.Limit.Rate named ->
              rateLimiter.onRateStated(named.requestsPerSecond(), nowNanos);
          case TargetNotice.Limit.Unstated unstated -> {
            if (rateLimiter.onNoRateStated(sentNanos)) {
              admitNext(nowNanos, callbacks);
            }
          }
          // The target still limits, and its rate may have been misread; the last known rate stays.
          case TargetNotice.Limit.Unreadable unreadable -> {}
        }
      }
    } finally {
      callbacks.deliver();
    }
  }

  /**
   * Records a rate that the target has stated to an earlier process of this node. Any answer of the
   * target to this process overrides it.
   *
   * @param perSecond the rate in requests per second
   * @param nowNanos the current time
   * @return whether it has changed the rate in force
   */
  public synchronized boolean onRememberedLimit(double perSecond, long nowNanos) {
    return rateLimiter.onRememberedRate(perSecond, nowNanos);
  }

  /**
   * {@return the rate that the target states, or that it has ended; empty if it never stated one}
   */
  public synchronized Optional<TargetNotice.Limit> statedLimit() {
    return rateLimiter.lastStated();
  }

  /** Forgets the rate that the target has stated, because a new run of the target starts. */
  public synchronized void forgetLimit() {
    rateLimiter.reset();
  }

  /**
   * Returns the time after which a waiter without a decision calls {@link #recheck}.
   *
   * @param nowNanos the current time
   * @return the time in nanoseconds, at least 1
   */
  public synchronized long recheckNanos(long nowNanos) {
    long startNanos = rateLimiter.waitNanos(0, nowNanos);
    return startNanos > 0 ? Math.min(startNanos, SPEED_WAIT_NANOS) : SPEED_WAIT_NANOS;
  }

  /**
   * Sets what the target takes while it is cold.
   *
   * @param changed the largest number of requests and the usual length of a cold start
   */
  public synchronized void setColdStart(ColdStart changed) {
    coldStart = changed;
    rateLimiter.setColdStart(changed);
  }

  /**
   * Records the remaining time of the target's cold start, in which it is slow.
   *
   * @param leftNanos the time in nanoseconds; 0 changes nothing, as the report may be delayed
   * @param nowNanos the current time
   */
  public synchronized void onCold(long leftNanos, long nowNanos) {
    if (leftNanos > 0) {
      slowdown.onCold(nowNanos + leftNanos);
      rateLimiter.onCold(nowNanos + leftNanos);
    }
  }

  /**
   * Assumes that the target begins a cold start now, as after a time in which it may have become
   * cold without a report.
   *
   * @param nowNanos the current time
   */
  public synchronized void assumeCold(long nowNanos) {
    if (coldStart.isLimited()) {
      onCold(coldStart.durationNanos(), nowNanos);
    }
  }

  /**
   * Records the target's response to a health check about its cold start.
   *
   * @param leftNanos the remaining time in nanoseconds, 0 if it is warm
   * @param sentNanos when the health check was sent
   */
  public synchronized void onColdReport(long leftNanos, long sentNanos) {
    if (leftNanos > 0) {
      onCold(leftNanos, sentNanos);
    } else {
      rateLimiter.onWarm(sentNanos);
    }
  }

  /**
   * Removes a waiter from the queue.
   *
   * @param waiter the waiter
   * @return whether it was still waiting; if not, it was or is being notified of its decision
   */
  public synchronized boolean withdraw(Waiter waiter) {
    for (int i = 0; i < queue.size(); i++) {
      if (queue.get(i).waiter().equals(waiter)) {
        queue.remove(i);
        return true;
      }
    }
    return false;
  }

  /**
   * Refuses all waiters and all later requests with {@link ResultCode#DRAINING}.
   *
   * @param nowNanos the current time
   */
  public void drain(long nowNanos) {
    close(ResultCode.DRAINING, nowNanos);
  }

  /**
   * Refuses all waiters, and all requests until {@link #open}.
   *
   * @param code the reason
   * @param nowNanos the current time
   */
  public void close(ResultCode code, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    try {
      synchronized (this) {
        closedWith = Optional.of(code);
        for (QueuedRequest queued : queue) {
          callbacks.refuse(queued.waiter(), createRefusal(code, nowNanos));
        }
        queue.clear();
      }
    } finally {
      callbacks.deliver();
    }
  }

  /**
   * Admits requests again.
   *
   * @param changed the target's capacity
   */
  public synchronized void open(Limits changed) {
    limits = changed;
    closedWith = Optional.empty();
  }

  /**
   * Returns the current load.
   *
   * @param nowNanos the current time
   * @return the load at this moment
   */
  public synchronized LoadReport load(long nowNanos) {
    return new LoadReport(
        running.size(),
        queue.size(),
        limits.slots(),
        (long) serviceTimeNanos,
        closedWith.isPresent(),
        rateLimiter.waitNanos(queue.size(), nowNanos));
  }

  /**
   * Describes the load for a log line.
   *
   * @param nowNanos the current time
   * @return key=value pairs: requests running and queued, the expected slowdown factor, the last
   *     reported one and its age; the rate that the target states, the limit while it is cold, and
   *     with either of them the time until the next request may start
   */
  public synchronized String describe(long nowNanos) {
    return "running="
        + running.size()
        + " queued="
        + queue.size()
        + " expected-slowdown="
        + hundredths(slowdown.expectedFactor(nowNanos))
        + " reported-slowdown="
        + hundredths(slowdown.lastFactor())
        + " report-age-ms="
        + Math.min(slowdown.lastReportAgeNanos(nowNanos) / NANOS_PER_MILLI, MAX_LOGGED_AGE_MILLIS)
        + (rateLimiter.perSecond().isPresent()
            ? " limit=" + hundredths(rateLimiter.perSecond().getAsDouble())
            : "")
        + (rateLimiter.isColdLimited(nowNanos) ? " cold-limit=" + coldStart.maxPerSecond() : "")
        + (rateLimiter.isLimiting(nowNanos)
            ? " next-start-ms=" + rateLimiter.waitNanos(0, nowNanos) / NANOS_PER_MILLI
            : "");
  }

  /**
   * Describes the share of a flow for a log line.
   *
   * @param team the team of the flow, or empty for requests without one
   * @param nowNanos the current time
   * @return key=value pairs with a leading space: the team, its weighted share and its use in
   *     percent of the recent use of all, and the number of active flows; empty if no other flow is
   *     active
   */
  public synchronized String describeShare(Optional<TeamName> team, long nowNanos) {
    FairShareTracker.Shares shares = fairShares.shares(List.of(team), nowNanos);
    if (!shares.areShared()) {
      return "";
    }
    return " team="
        + team.map(TeamName::value).orElse("none")
        + " team-share="
        + Math.round(PERCENT * shares.sharePart(team))
        + "% team-used="
        + Math.round(PERCENT * shares.usedPart(team))
        + "% teams-active="
        + shares.activeFlows();
  }

  private static double hundredths(double value) {
    return Math.round(value * HUNDREDTHS_PER_UNIT) / HUNDREDTHS_PER_UNIT;
  }

  // Collects callbacks under the lock, so that they run outside it.
  private static final class PendingCallbacks {
    private final List<Runnable> pending = new ArrayList<>();

    void admit(Waiter waiter) {
      pending.add(waiter::admitted);
    }

    void refuse(Waiter waiter, Decision.Refused refusal) {
      pending.add(() -> waiter.refused(refusal));
    }

    void deliver() {
      deliverFrom(0);
    }

    // A failure to notify one waiter does not keep the others waiting.
    private void deliverFrom(int first) {
      int next = first;
      try {
        while (next < pending.size()) {
          pending.get(next++).run();
        }
      } finally {
        if (next < pending.size()) {
          deliverFrom(next);
        }
      }
    }
  }
}
