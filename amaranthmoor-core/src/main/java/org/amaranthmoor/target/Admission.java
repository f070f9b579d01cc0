package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;

/**
 * Admits, queues or refuses requests to one target by exact knowledge of its load.
 *
 * <p>Answers the load pattern of a burst beyond what the target can do: a request that is not
 * expected to end in time is refused at once, so that it may go elsewhere, and slots go to requests
 * that can still be in time. Where the target tells its speed, work that a slow phase would make
 * late is not started in one: the speed is asked for if it is not known freshly, and the work waits
 * for the phase to end or goes elsewhere. After a restart nothing is known of the target: the speed
 * is asked for before the first work, what work took at an unknown speed teaches nothing, and a
 * refusal for a speed that is not known freshly asks for it, so that the next request finds it.
 * Where the target states a rate, requests start no faster, those that running ones need first, and
 * a refused caller learns when it may start; the speed is not asked for, as the target may count
 * the question. Invariants: at most {@link Limits#concurrency()} requests are admitted and not
 * released; a waiter gets exactly one final decision; a wait for the speed is bounded by {@link
 * #SPEED_WAIT_NANOS} however the question ends, if waiters call {@link #recheck}. Waiters are told
 * outside the lock. Safe for use by several threads.
 */
public final class Admission {

  /** Weight of a new sample in the smoothed time of all requests. */
  private static final double SERVICE_TIME_WEIGHT = 0.1;

  /** First guess where the limits give none: a small request. */
  private static final double INITIAL_SERVICE_TIME_NANOS = 5_000_000.0;

  /** Share of its expected time that a request which is overdue is expected to take still. */
  private static final double OVERDUE_REST_SHARE = 0.25;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double HUNDREDTHS_PER_UNIT = 100;

  /** Longest time after which a caller is told to come back, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 30_000;

  private static final double PERCENT = 100;
  private static final long MAX_LOGGED_AGE_MILLIS = 99_999;

  /**
   * Longest wait for a slot of a request that is late already, in nanoseconds: one that waits
   * longer takes the place of others without a gain to its caller.
   */
  private static final long MAX_LATE_WAIT_NANOS = 100_000_000L;

  /**
   * Time for which late work gets no slot after work that could be in time found none, in
   * nanoseconds: about the time in which a refused caller comes back.
   */
  private static final long CONTENTION_NANOS = 250_000_000L;

  /**
   * Longest wait for an answer to the question for the target's speed, in nanoseconds: the time
   * that a question has to connect, and as long again to be answered.
   */
  public static final long SPEED_WAIT_NANOS = 120_000_000L;

  /** Rules whose service times are remembered at most. */
  private static final int MAX_ESTIMATED_RULES = 10_000;

  /**
   * What the target can do.
   *
   * @param slots requests the target may run at once, at least 1
   * @param queue requests that may wait, at least 0
   * @param concurrency requests handed over at once, from 1 to the slots; fewer than the slots
   *     where a target slows down near full
   * @param initialWorkShare share of the time until its objective that the first request of a rule
   *     is expected to take; 0 for a small fixed guess
   */
  public record Limits(int slots, int queue, int concurrency, double initialWorkShare) {
    /** Checks the limits. */
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

    /** The request waits; the waiter is told. */
    record Queued() implements Decision {}

    /**
     * The request is not run.
     *
     * @param code why
     * @param retryAfterMillis when to come back, in milliseconds
     */
    record Refused(ResultCode code, long retryAfterMillis) implements Decision {}
  }

  /** A request that may have to wait. */
  public interface Waiter {

    /** Rule of requests whose rule is not known. */
    RuleName NO_RULE = new RuleName("none");

    /** {@return its priority} */
    Priority priority();

    /** {@return its deadline in monotonic nanoseconds} */
    long deadlineNanos();

    /** {@return the rule it matched; requests of one rule are expected to take alike} */
    default RuleName rule() {
      return NO_RULE;
    }

    /**
     * {@return whether a request that runs already needs this one, so that it is worth any wait}
     */
    default boolean needed() {
      return false;
    }

    /** {@return until when it has to end to count as in time, in monotonic nanoseconds} */
    default long objectiveNanos() {
      return deadlineNanos();
    }

    /**
     * {@return share of the time that its work leaves until its objective which it may be expected
     * to wait here, in percent; 0 to be taken whenever it can end before its deadline}
     */
    default int patiencePercent() {
      return 0;
    }

    /** Tells that the request has a slot, which must be released. */
    void admitted();

    /**
     * Tells that the request is not run.
     *
     * @param refusal why
     */
    void refused(Decision.Refused refusal);
  }

  private record QueuedRequest(
      Waiter waiter,
      long arrivalNumber,
      long arrivedNanos,
      double initialEstimateNanos,
      double latestEndNanos) {}

  // The factor counts as known if it was reported freshly before the work began.
  private record RunningRequest(
      double workNanos,
      double initialEstimateNanos,
      double factor,
      boolean factorFresh,
      long endNanos) {}

  private static final Comparator<QueuedRequest> ORDER =
      Comparator.comparing((QueuedRequest queued) -> queued.waiter().priority())
          .thenComparingLong(queued -> queued.waiter().objectiveNanos())
          .thenComparingLong(QueuedRequest::arrivalNumber);

  // Where starts are scarce, a request whose loss loses a running one too goes first.
  private static final Comparator<QueuedRequest> RATE_LIMITED_ORDER =
      Comparator.comparing((QueuedRequest queued) -> !queued.waiter().needed())
          .thenComparing(ORDER);

  private final RetryAfterCalculator retryAfter;
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
  private final SlowdownEstimator slowdown = new SlowdownEstimator();
  private final TargetRateLimiter rateLimiter = new TargetRateLimiter();
  private final List<QueuedRequest> queue = new ArrayList<>();
  private final Map<Waiter, RunningRequest> running = new HashMap<>();
  private Limits limits;
  private long arrivals;
  private boolean contended;
  private long contendedNanos;
  private double serviceTimeNanos = INITIAL_SERVICE_TIME_NANOS;
  private Optional<ResultCode> closedWith = Optional.empty();
  private Optional<Runnable> speedProbe = Optional.empty();

  /**
   * Creates an admission with nothing in flight.
   *
   * @param slots requests the target may run at once, at least 1
   * @param queueLimit requests that may wait, at least 0
   * @param random source of randomness for the advice to come back
   * @param nowNanos the current time
   */
  public Admission(int slots, int queueLimit, RandomGenerator random, long nowNanos) {
    this(new Limits(slots, queueLimit, Math.max(1, slots), 0), random, nowNanos);
  }

  /**
   * Creates an admission with nothing in flight.
   *
   * @param limits what the target can do
   * @param random source of randomness for the advice to come back
   * @param nowNanos the current time
   */
  public Admission(Limits limits, RandomGenerator random, long nowNanos) {
    this.limits = limits;
    this.retryAfter = new RetryAfterCalculator(random, nowNanos);
  }

  /**
   * Decides on a request that arrived.
   *
   * @param waiter the request
   * @param nowNanos the current time
   * @return the decision; only a queued waiter is told anything later
   */
  public Decision offer(Waiter waiter, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    Decision decision;
    synchronized (this) {
      decision = decide(waiter, nowNanos, callbacks);
      if (decision instanceof Decision.Refused refused) {
        probeSpeedAfterRefusal(refused, waiter, nowNanos, callbacks);
      }
    }
    callbacks.deliver();
    return decision;
  }

  // Without the answer the next request would be refused for the same old report.
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
      probeSpeed(callbacks);
    }
  }

  private void probeSpeed(PendingCallbacks callbacks) {
    if (!rateLimiter.isLimiting()) {
      speedProbe.ifPresent(callbacks.pending::add);
    }
  }

  private Comparator<QueuedRequest> order() {
    return rateLimiter.isLimiting() ? RATE_LIMITED_ORDER : ORDER;
  }

  private Decision decide(Waiter waiter, long nowNanos, PendingCallbacks callbacks) {
    if (closedWith.isPresent()) {
      return createRefusal(closedWith.get(), nowNanos);
    }
    if (waiter.deadlineNanos() <= nowNanos) {
      return createRefusal(ResultCode.DEADLINE_BEFORE_START, nowNanos);
    }
    QueuedRequest request = createRequest(waiter, nowNanos);
    boolean slotFree =
        hasSlot(request, nowNanos)
            && queue.stream()
                .noneMatch(q -> order().compare(q, request) < 0 && hasSlot(q, nowNanos));
    double startNanos = slotFree ? (double) nowNanos : expectedStartNanos(request, nowNanos);
    double endNanos = startNanos + expectedDurationNanos(request, nowNanos);
    if (!slotFree && endNanos > waiter.deadlineNanos()) {
      return createRefusal(ResultCode.OVERLOADED, nowNanos);
    }
    if (waiter.patiencePercent() > 0 && endNanos > request.latestEndNanos()) {
      if (!slotFree) {
        noteContention(request, nowNanos);
      }
      return createRefusal(lateCode(waiter, endNanos), nowNanos);
    }
    boolean late = endNanos > waiter.objectiveNanos() && !waiter.needed();
    if (late && (startNanos - nowNanos > MAX_LATE_WAIT_NANOS || recentlyContended(nowNanos))) {
      return createRefusal(ResultCode.OVERLOADED, nowNanos);
    }
    if (slotFree && speedAllowsStart(request, nowNanos)) {
      start(request, nowNanos);
      return new Decision.Admitted();
    }
    if (queue.size() >= limits.queue() && !displace(waiter.priority(), nowNanos, callbacks)) {
      return createRefusal(ResultCode.OVERLOADED, nowNanos);
    }
    enqueue(request);
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
        waiter.patiencePercent() == 0
            ? (double) waiter.deadlineNanos()
            : Math.min(
                (double) waiter.objectiveNanos(),
                nowNanos + workNanos + slackNanos * waiter.patiencePercent() / PERCENT);
    return new QueuedRequest(waiter, ++arrivals, nowNanos, initialEstimateNanos, latestEndNanos);
  }

  // Tells one that more patience would help from one that cannot be in time here.
  private static ResultCode lateCode(Waiter waiter, double endNanos) {
    return endNanos > waiter.objectiveNanos() ? ResultCode.OVERLOADED : ResultCode.TOO_LATE_HERE;
  }

  // Of work that would be late on an idle target too, as after a cold start, no slot is kept free.
  private void noteContention(QueuedRequest withoutSlot, long nowNanos) {
    double endNanos = nowNanos + expectedDurationNanos(withoutSlot, nowNanos);
    if (endNanos <= withoutSlot.waiter().objectiveNanos()) {
      contended = true;
      contendedNanos = nowNanos;
    }
  }

  // While requests that could be in time find no slot, a late one would only take it from them.
  private boolean recentlyContended(long nowNanos) {
    return contended && nowNanos - contendedNanos < CONTENTION_NANOS;
  }

  // Work whose end in time hangs on the target's speed starts only when that is known and good.
  private boolean speedAllowsStart(QueuedRequest request, long nowNanos) {
    if (!dependsOnSpeed(request, nowNanos)) {
      return true;
    }
    if (slowdown.isFresh(nowNanos)) {
      return !slowdown.isInSlowPhase(nowNanos);
    }
    boolean waitedEnough = nowNanos - request.arrivedNanos() >= SPEED_WAIT_NANOS;
    return slowdown.probeFailedRecently(nowNanos) || waitedEnough || rateLimiter.isLimiting();
  }

  // Whether the work ends in time outside of a slow phase, but not in one: before its objective, or
  // if that is too near, before its deadline.
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

  // A request that a running one needs is short beside it, and without it the running one is lost:
  // where waiting would make it late it takes a slot beyond those that are used, although work in
  // all of these slows the target down. Nobody has a slot before the stated rate allows a start.
  private boolean hasSlot(QueuedRequest request, long nowNanos) {
    if (!rateLimiter.allowsStart(nowNanos)) {
      return false;
    }
    int used = running.size();
    boolean mayExceedLimit = request.waiter().needed() && used < limits.slots();
    return used < limits.concurrency() || (mayExceedLimit && isLateAfterWait(request, nowNanos));
  }

  private boolean isLateAfterWait(QueuedRequest request, long nowNanos) {
    double endNanos =
        expectedStartNanos(request, nowNanos) + expectedDurationNanos(request, nowNanos);
    return endNanos > request.waiter().objectiveNanos();
  }

  private void probeSpeedIfAwaited(long nowNanos, PendingCallbacks callbacks) {
    boolean waits = queue.stream().anyMatch(queued -> hasSlot(queued, nowNanos));
    if (waits && !slowdown.isFresh(nowNanos)) {
      probeSpeed(callbacks);
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

  // When a slot is expected to be free for the request, after those that go before it.
  private double expectedStartNanos(QueuedRequest request, long nowNanos) {
    PriorityQueue<Double> slotFreeNanos = new PriorityQueue<>();
    for (RunningRequest run : running.values()) {
      double overdueNanos = nowNanos + OVERDUE_REST_SHARE * run.workNanos() * run.factor();
      slotFreeNanos.add(Math.max((double) run.endNanos(), overdueNanos));
    }
    while (slotFreeNanos.size() < limits.concurrency()) {
      slotFreeNanos.add((double) nowNanos);
    }
    int ahead = 0;
    for (QueuedRequest other : queue) {
      if (order().compare(other, request) < 0) {
        slotFreeNanos.add(slotFreeNanos.remove() + expectedDurationNanos(other, nowNanos));
        ahead++;
      }
    }
    return Math.max(
        slotFreeNanos.remove(), (double) (nowNanos + rateLimiter.waitNanos(ahead, nowNanos)));
  }

  private void start(QueuedRequest request, long nowNanos) {
    double factor = slowdown.expectedFactor(nowNanos);
    double work = workNanos(request, nowNanos);
    long endNanos = nowNanos + (long) (work * factor);
    boolean fresh = slowdown.isFresh(nowNanos);
    rateLimiter.onStart(nowNanos);
    running.put(
        request.waiter(),
        new RunningRequest(work, request.initialEstimateNanos(), factor, fresh, endNanos));
  }

  private void enqueue(QueuedRequest request) {
    int index = queue.size();
    while (index > 0 && order().compare(request, queue.get(index - 1)) < 0) {
      index--;
    }
    queue.add(index, request);
  }

  // Refuses the newest waiter of the lowest priority below the given one.
  private boolean displace(Priority priority, long nowNanos, PendingCallbacks callbacks) {
    if (queue.isEmpty()) {
      return false;
    }
    Priority lowest = queue.getLast().waiter().priority();
    if (lowest.compareTo(priority) <= 0) {
      return false;
    }
    QueuedRequest newest =
        queue.stream()
            .filter(queued -> queued.waiter().priority() == lowest)
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
   * Gives a slot back and admits the next waiters that can still finish.
   *
   * @param waiter the request that had the slot
   * @param heldNanos how long the slot was held, or a negative number if the target was not used
   * @param nowNanos the current time
   */
  public void release(Waiter waiter, long heldNanos, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    synchronized (this) {
      RunningRequest run = running.remove(waiter);
      if (heldNanos >= 0 && run != null) {
        serviceTimeNanos += SERVICE_TIME_WEIGHT * (heldNanos - serviceTimeNanos);
        learnWork(waiter.rule(), run, heldNanos, nowNanos);
        retryAfter.onServed(nowNanos);
      }
      admitNext(nowNanos, callbacks);
    }
    callbacks.deliver();
  }

  // A target that tells its speed, but had not when the work began, may have been slow then.
  private void learnWork(RuleName rule, RunningRequest run, long heldNanos, long nowNanos) {
    if (run.factorFresh() || speedProbe.isEmpty() || !slowdown.hasReported()) {
      serviceTimes.onServed(rule, heldNanos / run.factor(), run.initialEstimateNanos(), nowNanos);
      serviceTimes.clearIfOver(MAX_ESTIMATED_RULES);
    }
  }

  private void admitNext(long nowNanos, PendingCallbacks callbacks) {
    refuseOutOfTime(nowNanos, callbacks);
    Optional<QueuedRequest> next = nextStartable(nowNanos);
    while (next.isPresent()) {
      queue.remove(next.get());
      start(next.get(), nowNanos);
      callbacks.admit(next.get().waiter());
      next = nextStartable(nowNanos);
    }
    probeSpeedIfAwaited(nowNanos, callbacks);
  }

  private void refuseOutOfTime(long nowNanos, PendingCallbacks callbacks) {
    int ahead = 0;
    for (QueuedRequest queued : List.copyOf(queue)) {
      Waiter waiter = queued.waiter();
      double startNanos = (double) (nowNanos + rateLimiter.waitNanos(ahead, nowNanos));
      double endNanos =
          startNanos + slowdown.baselineDurationNanos(workNanos(queued, nowNanos), nowNanos);
      Optional<ResultCode> code = Optional.empty();
      if (waiter.deadlineNanos() <= nowNanos) {
        code = Optional.of(ResultCode.DEADLINE_BEFORE_START);
      } else if (startNanos >= waiter.deadlineNanos()) {
        code = Optional.of(ResultCode.OVERLOADED);
      } else if (waiter.patiencePercent() > 0 && endNanos > queued.latestEndNanos()) {
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

  // The first that can be in time; if none can, the first.
  private Optional<QueuedRequest> nextStartable(long nowNanos) {
    List<QueuedRequest> startable =
        queue.stream()
            .filter(q -> hasSlot(q, nowNanos) && speedAllowsStart(q, nowNanos))
            .sorted(order())
            .toList();
    return startable.stream()
        .filter(q -> nowNanos + expectedDurationNanos(q, nowNanos) <= q.waiter().objectiveNanos())
        .findFirst()
        .or(() -> startable.stream().findFirst());
  }

  /**
   * Sets what asks the target for its speed; without it, speeds are taken in as they come.
   *
   * @param probe asks once, and ends in {@link #onSlowdown} or {@link #onSpeedUnknown}
   */
  public synchronized void setSpeedProbe(Runnable probe) {
    speedProbe = Optional.of(probe);
  }

  /**
   * Returns whether requests wait for the target to be faster, or for its speed to be known.
   *
   * @param nowNanos the current time
   * @return whether any does
   */
  public synchronized boolean waitsForSpeed(long nowNanos) {
    return queue.stream().anyMatch(queued -> hasSlot(queued, nowNanos));
  }

  /**
   * Admits what waits for the target's speed, as it could not be found out.
   *
   * @param nowNanos the current time
   */
  public void onSpeedUnknown(long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    synchronized (this) {
      slowdown.onProbeFailed(nowNanos);
      admitNext(nowNanos, callbacks);
    }
    callbacks.deliver();
  }

  /**
   * Decides again on those that wait, as time alone may have changed what may start. Waiters call
   * it now and then, so that none depends on a single event.
   *
   * @param nowNanos the current time
   */
  public void recheck(long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    synchronized (this) {
      admitNext(nowNanos, callbacks);
    }
    callbacks.deliver();
  }

  /**
   * Takes in how much longer work takes at the target at this moment.
   *
   * @param factor 1 for the usual speed, 4 if work takes four times as long
   * @param nowNanos the current time
   */
  public void onSlowdown(double factor, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    synchronized (this) {
      slowdown.onReport(factor, nowNanos);
      admitNext(nowNanos, callbacks);
    }
    callbacks.deliver();
  }

  /**
   * Takes in what an answer of the target says of the rate of requests that it takes.
   *
   * @param stated the rate
   * @param sentNanos when the request was handed over
   * @param nowNanos the current time
   */
  public void onLimit(TargetNotice.Limit stated, long sentNanos, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    synchronized (this) {
      switch (stated) {
        case TargetNotice.Limit.Rate named ->
            rateLimiter.onRateStated(named.requestsPerSecond(), nowNanos);
        case TargetNotice.Limit.Unstated unstated -> {
          if (rateLimiter.onNoRateStated(sentNanos)) {
            admitNext(nowNanos, callbacks);
          }
        }
        // It still limits, and may have been misread; what was known before holds.
        case TargetNotice.Limit.Unreadable unreadable -> {}
      }
    }
    callbacks.deliver();
  }

  /**
   * Takes in a rate that the target has stated to an earlier process of this node. Whatever the
   * target has answered to this one overrides it.
   *
   * @param perSecond requests a second
   * @param nowNanos the current time
   * @return whether it has changed the rate
   */
  public synchronized boolean onRememberedLimit(double perSecond, long nowNanos) {
    return rateLimiter.onRememberedRate(perSecond, nowNanos);
  }

  /**
   * {@return what is known of the rate that the target states, also that it has ended; empty if it
   * never stated one}
   */
  public synchronized Optional<TargetNotice.Limit> statedLimit() {
    return rateLimiter.lastStated();
  }

  /** Forgets the rate that the target has stated, as for a new run. */
  public synchronized void forgetLimit() {
    rateLimiter.reset();
  }

  /**
   * Returns when a waiter that was told nothing has its decision checked again.
   *
   * @param nowNanos the current time
   * @return time until {@link #recheck} in nanoseconds, at least 1
   */
  public synchronized long recheckNanos(long nowNanos) {
    long startNanos = rateLimiter.waitNanos(0, nowNanos);
    return startNanos > 0 ? Math.min(startNanos, SPEED_WAIT_NANOS) : SPEED_WAIT_NANOS;
  }

  /**
   * Takes in how much longer the target stays slow after its start.
   *
   * @param leftNanos the time in nanoseconds, 0 if it is warm
   * @param nowNanos the current time
   */
  public synchronized void onCold(long leftNanos, long nowNanos) {
    if (leftNanos > 0) {
      slowdown.onCold(nowNanos + leftNanos);
    }
  }

  /**
   * Takes a waiter out of the queue.
   *
   * @param waiter the waiter
   * @return whether it was still waiting; if not, it was told or is being told its decision
   */
  public synchronized boolean withdraw(Waiter waiter) {
    return queue.removeIf(queued -> queued.waiter().equals(waiter));
  }

  /**
   * Refuses all waiters and everything that arrives from now on.
   *
   * @param nowNanos the current time
   */
  public void drain(long nowNanos) {
    close(ResultCode.DRAINING, nowNanos);
  }

  /**
   * Refuses all waiters and everything that arrives until {@link #open}.
   *
   * @param code why
   * @param nowNanos the current time
   */
  public void close(ResultCode code, long nowNanos) {
    PendingCallbacks callbacks = new PendingCallbacks();
    synchronized (this) {
      closedWith = Optional.of(code);
      for (QueuedRequest queued : queue) {
        callbacks.refuse(queued.waiter(), createRefusal(code, nowNanos));
      }
      queue.clear();
    }
    callbacks.deliver();
  }

  /**
   * Admits requests again.
   *
   * @param changed what the target can do
   */
  public synchronized void open(Limits changed) {
    limits = changed;
    closedWith = Optional.empty();
  }

  /**
   * Returns the exact load.
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
   * @return key=value pairs: requests running and queued, how much longer work is expected to take,
   *     the newest report of that and its age; the rate that the target states, if any, and when
   *     the next request may start
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
        + (rateLimiter.isLimiting()
            ? " limit="
                + hundredths(rateLimiter.perSecond().getAsDouble())
                + " next-start-ms="
                + rateLimiter.waitNanos(0, nowNanos) / NANOS_PER_MILLI
            : "");
  }

  private static double hundredths(double value) {
    return Math.round(value * HUNDREDTHS_PER_UNIT) / HUNDREDTHS_PER_UNIT;
  }

  // Collects what waiters are to be told, so that they are told outside the lock.
  private static final class PendingCallbacks {
    private final List<Runnable> pending = new ArrayList<>();

    void admit(Waiter waiter) {
      pending.add(waiter::admitted);
    }

    void refuse(Waiter waiter, Decision.Refused refusal) {
      pending.add(() -> waiter.refused(refusal));
    }

    void deliver() {
      pending.forEach(Runnable::run);
    }
  }
}
