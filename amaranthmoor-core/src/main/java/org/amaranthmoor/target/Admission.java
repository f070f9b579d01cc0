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
  private static final double FIRST_SERVICE_TIME_NANOS = 5_000_000.0;

  /** Share of its expected time that a request which is overdue is expected to take still. */
  private static final double OVERDUE_SHARE = 0.25;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double HUNDRED = 100;

  /** Longest time after which a caller is told to come back, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 30_000;

  private static final double PERCENT = 100;
  private static final long MAX_SHOWN_AGE_MILLIS = 99_999;

  /**
   * Longest wait for a slot of a request that is late already, in nanoseconds: one that waits
   * longer takes the place of others without a gain to its caller.
   */
  private static final long LATE_START_NANOS = 100_000_000L;

  /**
   * Time for which late work gets no slot after work that could be in time found none, in
   * nanoseconds: about the time in which a refused caller comes back.
   */
  private static final long CROWDED_NANOS = 250_000_000L;

  /**
   * Longest wait for an answer to the question for the target's speed, in nanoseconds: the time
   * that a question has to connect, and as long again to be answered.
   */
  public static final long SPEED_WAIT_NANOS = 120_000_000L;

  /** Rules whose service times are remembered at most. */
  private static final int MAX_RULES = 10_000;

  /**
   * What the target can do.
   *
   * @param slots requests the target may run at once, at least 1
   * @param queue requests that may wait, at least 0
   * @param concurrency requests handed over at once, from 1 to the slots; fewer than the slots
   *     where a target slows down near full
   * @param firstWorkShare share of the time until its objective that the first request of a rule is
   *     expected to take; 0 for a small fixed guess
   */
  public record Limits(int slots, int queue, int concurrency, double firstWorkShare) {
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

  private record Queued(
      Waiter waiter, long number, long arrivedNanos, double guessNanos, double latestEndNanos) {}

  // The factor counts as known if it was reported freshly before the work began.
  private record Running(
      double workNanos, double guessNanos, double factor, boolean factorKnown, long endNanos) {}

  private static final Comparator<Queued> ORDER =
      Comparator.comparing((Queued queued) -> queued.waiter().priority())
          .thenComparingLong(queued -> queued.waiter().objectiveNanos())
          .thenComparingLong(Queued::number);

  // Where starts are scarce, a request whose loss loses a running one too goes first.
  private static final Comparator<Queued> LIMITED_ORDER =
      Comparator.comparing((Queued queued) -> !queued.waiter().needed()).thenComparing(ORDER);

  private final RefusalAdvice advice;
  private final ServiceTimes times = new ServiceTimes();
  private final Slowdown slowdown = new Slowdown();
  private final StatedRate rate = new StatedRate();
  private final List<Queued> queue = new ArrayList<>();
  private final Map<Waiter, Running> running = new HashMap<>();
  private Limits limits;
  private long arrivals;
  private boolean crowded;
  private long crowdedNanos;
  private double serviceTimeNanos = FIRST_SERVICE_TIME_NANOS;
  private Optional<ResultCode> closed = Optional.empty();
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
    this.advice = new RefusalAdvice(random, nowNanos);
  }

  /**
   * Decides on a request that arrived.
   *
   * @param waiter the request
   * @param nowNanos the current time
   * @return the decision; only a queued waiter is told anything later
   */
  public Decision offer(Waiter waiter, long nowNanos) {
    Notices notices = new Notices();
    Decision decision;
    synchronized (this) {
      decision = decide(waiter, nowNanos, notices);
      if (decision instanceof Decision.Refused refused) {
        askSpeedIfRefusedForIt(refused, waiter, nowNanos, notices);
      }
    }
    notices.deliver();
    return decision;
  }

  // Without the answer the next request would be refused for the same old report.
  private void askSpeedIfRefusedForIt(
      Decision.Refused refused, Waiter waiter, long nowNanos, Notices notices) {
    boolean forTime =
        refused.code() == ResultCode.OVERLOADED || refused.code() == ResultCode.TOO_LATE_HERE;
    boolean free = running.size() < limits.concurrency();
    double usualNanos = times.expectedNanos(waiter.rule(), firstGuess(waiter, nowNanos), nowNanos);
    if (forTime
        && free
        && !slowdown.fresh(nowNanos)
        && nowNanos + usualNanos <= waiter.objectiveNanos()) {
      askSpeed(notices);
    }
  }

  private void askSpeed(Notices notices) {
    if (!rate.limits()) {
      speedProbe.ifPresent(notices.pending::add);
    }
  }

  private Comparator<Queued> order() {
    return rate.limits() ? LIMITED_ORDER : ORDER;
  }

  private Decision decide(Waiter waiter, long nowNanos, Notices notices) {
    if (closed.isPresent()) {
      return refuse(closed.get(), nowNanos);
    }
    if (waiter.deadlineNanos() <= nowNanos) {
      return refuse(ResultCode.DEADLINE_BEFORE_START, nowNanos);
    }
    Queued arrived = arrived(waiter, nowNanos);
    boolean free =
        hasSlot(arrived, nowNanos)
            && queue.stream()
                .noneMatch(q -> order().compare(q, arrived) < 0 && hasSlot(q, nowNanos));
    double startNanos = free ? (double) nowNanos : startNanos(arrived, nowNanos);
    double endNanos = startNanos + expectedNanos(arrived, nowNanos);
    if (!free && endNanos > waiter.deadlineNanos()) {
      return refuse(ResultCode.OVERLOADED, nowNanos);
    }
    if (waiter.patiencePercent() > 0 && endNanos > arrived.latestEndNanos()) {
      if (!free) {
        noteCrowded(arrived, nowNanos);
      }
      return refuse(tooLate(waiter, endNanos), nowNanos);
    }
    boolean late = endNanos > waiter.objectiveNanos() && !waiter.needed();
    if (late && (startNanos - nowNanos > LATE_START_NANOS || crowded(nowNanos))) {
      return refuse(ResultCode.OVERLOADED, nowNanos);
    }
    if (free && mayStart(arrived, nowNanos)) {
      start(arrived, nowNanos);
      return new Decision.Admitted();
    }
    if (queue.size() >= limits.queue() && !displace(waiter.priority(), nowNanos, notices)) {
      return refuse(ResultCode.OVERLOADED, nowNanos);
    }
    enqueue(arrived);
    askSpeedIfNeeded(nowNanos, notices);
    return new Decision.Queued();
  }

  private Queued arrived(Waiter waiter, long nowNanos) {
    double guessNanos = firstGuess(waiter, nowNanos);
    double workNanos =
        slowdown.atBestNanos(times.expectedNanos(waiter.rule(), guessNanos, nowNanos), nowNanos);
    double slackNanos = Math.max(0, waiter.objectiveNanos() - nowNanos - workNanos);
    double latestEndNanos =
        waiter.patiencePercent() == 0
            ? (double) waiter.deadlineNanos()
            : Math.min(
                (double) waiter.objectiveNanos(),
                nowNanos + workNanos + slackNanos * waiter.patiencePercent() / PERCENT);
    return new Queued(waiter, ++arrivals, nowNanos, guessNanos, latestEndNanos);
  }

  // Tells one that more patience would help from one that cannot be in time here.
  private static ResultCode tooLate(Waiter waiter, double endNanos) {
    return endNanos > waiter.objectiveNanos() ? ResultCode.OVERLOADED : ResultCode.TOO_LATE_HERE;
  }

  // Of work that would be late on an idle target too, as after a cold start, no slot is kept free.
  private void noteCrowded(Queued withoutSlot, long nowNanos) {
    double endNanos = nowNanos + expectedNanos(withoutSlot, nowNanos);
    if (endNanos <= withoutSlot.waiter().objectiveNanos()) {
      crowded = true;
      crowdedNanos = nowNanos;
    }
  }

  // While requests that could be in time find no slot, a late one would only take it from them.
  private boolean crowded(long nowNanos) {
    return crowded && nowNanos - crowdedNanos < CROWDED_NANOS;
  }

  // Work whose end in time hangs on the target's speed starts only when that is known and good.
  private boolean mayStart(Queued request, long nowNanos) {
    if (!hangsOnSpeed(request, nowNanos)) {
      return true;
    }
    if (slowdown.fresh(nowNanos)) {
      return !slowdown.slow(nowNanos);
    }
    boolean waitedEnough = nowNanos - request.arrivedNanos() >= SPEED_WAIT_NANOS;
    return slowdown.failedToTell(nowNanos) || waitedEnough || rate.limits();
  }

  // Whether the work ends in time outside of a slow phase, but not in one: before its objective, or
  // if that is too near, before its deadline.
  private boolean hangsOnSpeed(Queued request, long nowNanos) {
    if (speedProbe.isEmpty()) {
      return false;
    }
    double workNanos = workNanos(request, nowNanos);
    double bestNanos = slowdown.atBestNanos(workNanos, nowNanos);
    double objectiveLeft = (double) (request.waiter().objectiveNanos() - nowNanos);
    double deadlineLeft = (double) (request.waiter().deadlineNanos() - nowNanos);
    double leftNanos = bestNanos <= objectiveLeft ? objectiveLeft : deadlineLeft;
    return bestNanos <= leftNanos && slowdown.matters(workNanos, leftNanos, nowNanos);
  }

  // A request that a running one needs is short beside it, and without it the running one is lost:
  // where waiting would make it late it takes a slot beyond those that are used, although work in
  // all of these slows the target down. Nobody has a slot before the stated rate allows a start.
  private boolean hasSlot(Queued request, long nowNanos) {
    if (!rate.mayStart(nowNanos)) {
      return false;
    }
    int used = running.size();
    boolean beyond = request.waiter().needed() && used < limits.slots();
    return used < limits.concurrency() || (beyond && isLateIfItWaits(request, nowNanos));
  }

  private boolean isLateIfItWaits(Queued request, long nowNanos) {
    double endNanos = startNanos(request, nowNanos) + expectedNanos(request, nowNanos);
    return endNanos > request.waiter().objectiveNanos();
  }

  private void askSpeedIfNeeded(long nowNanos, Notices notices) {
    boolean waits = queue.stream().anyMatch(queued -> hasSlot(queued, nowNanos));
    if (waits && !slowdown.fresh(nowNanos)) {
      askSpeed(notices);
    }
  }

  private double firstGuess(Waiter waiter, long nowNanos) {
    double share = limits.firstWorkShare();
    return share == 0
        ? FIRST_SERVICE_TIME_NANOS
        : Math.max(FIRST_SERVICE_TIME_NANOS, share * (double) (waiter.objectiveNanos() - nowNanos));
  }

  private double expectedNanos(Queued request, long nowNanos) {
    double workNanos = workNanos(request, nowNanos);
    double atOnceNanos = slowdown.atOnceNanos(workNanos, nowNanos);
    return slowdown.slow(nowNanos)
        ? Math.min(atOnceNanos, slowdown.laterNanos(workNanos, nowNanos))
        : atOnceNanos;
  }

  private double workNanos(Queued request, long nowNanos) {
    return times.expectedNanos(request.waiter().rule(), request.guessNanos(), nowNanos);
  }

  // When a slot is expected to be free for the request, after those that go before it.
  private double startNanos(Queued request, long nowNanos) {
    PriorityQueue<Double> freeNanos = new PriorityQueue<>();
    for (Running run : running.values()) {
      double overdueNanos = nowNanos + OVERDUE_SHARE * run.workNanos() * run.factor();
      freeNanos.add(Math.max((double) run.endNanos(), overdueNanos));
    }
    while (freeNanos.size() < limits.concurrency()) {
      freeNanos.add((double) nowNanos);
    }
    int ahead = 0;
    for (Queued other : queue) {
      if (order().compare(other, request) < 0) {
        freeNanos.add(freeNanos.remove() + expectedNanos(other, nowNanos));
        ahead++;
      }
    }
    return Math.max(freeNanos.remove(), (double) (nowNanos + rate.waitNanos(ahead, nowNanos)));
  }

  private void start(Queued request, long nowNanos) {
    double factor = slowdown.expected(nowNanos);
    double work = workNanos(request, nowNanos);
    long endNanos = nowNanos + (long) (work * factor);
    boolean known = slowdown.fresh(nowNanos);
    rate.onStart(nowNanos);
    running.put(request.waiter(), new Running(work, request.guessNanos(), factor, known, endNanos));
  }

  private void enqueue(Queued request) {
    int index = queue.size();
    while (index > 0 && order().compare(request, queue.get(index - 1)) < 0) {
      index--;
    }
    queue.add(index, request);
  }

  // Refuses the newest waiter of the lowest priority below the given one.
  private boolean displace(Priority priority, long nowNanos, Notices notices) {
    if (queue.isEmpty()) {
      return false;
    }
    Priority lowest = queue.getLast().waiter().priority();
    if (lowest.compareTo(priority) <= 0) {
      return false;
    }
    Queued newest =
        queue.stream()
            .filter(queued -> queued.waiter().priority() == lowest)
            .max(Comparator.comparingLong(Queued::number))
            .orElseThrow();
    queue.remove(newest);
    notices.refuse(newest.waiter(), refuse(ResultCode.OVERLOADED, nowNanos));
    return true;
  }

  private Decision.Refused refuse(ResultCode code, long nowNanos) {
    if (code == ResultCode.OVERLOADED && !rate.mayStart(nowNanos)) {
      long waitNanos = rate.waitNanos(queue.size(), nowNanos);
      return new Decision.Refused(
          ResultCode.TARGET_LIMITED, 1 + Math.min(MAX_RETRY_MILLIS, waitNanos / NANOS_PER_MILLI));
    }
    long drainNanos = (long) (serviceTimeNanos * (queue.size() + 1) / limits.concurrency());
    return new Decision.Refused(code, advice.onRefused(drainNanos, nowNanos));
  }

  /**
   * Gives a slot back and admits the next waiters that can still finish.
   *
   * @param waiter the request that had the slot
   * @param heldNanos how long the slot was held, or a negative number if the target was not used
   * @param nowNanos the current time
   */
  public void release(Waiter waiter, long heldNanos, long nowNanos) {
    Notices notices = new Notices();
    synchronized (this) {
      Running run = running.remove(waiter);
      if (heldNanos >= 0 && run != null) {
        serviceTimeNanos += SERVICE_TIME_WEIGHT * (heldNanos - serviceTimeNanos);
        learnWork(waiter.rule(), run, heldNanos, nowNanos);
        advice.onServed(nowNanos);
      }
      admitNext(nowNanos, notices);
    }
    notices.deliver();
  }

  // A target that tells its speed, but had not when the work began, may have been slow then.
  private void learnWork(RuleName rule, Running run, long heldNanos, long nowNanos) {
    if (run.factorKnown() || speedProbe.isEmpty() || !slowdown.told()) {
      times.onServed(rule, heldNanos / run.factor(), run.guessNanos(), nowNanos);
      times.retainIfLarge(MAX_RULES);
    }
  }

  private void admitNext(long nowNanos, Notices notices) {
    refuseHopeless(nowNanos, notices);
    Optional<Queued> next = next(nowNanos);
    while (next.isPresent()) {
      queue.remove(next.get());
      start(next.get(), nowNanos);
      notices.admit(next.get().waiter());
      next = next(nowNanos);
    }
    askSpeedIfNeeded(nowNanos, notices);
  }

  private void refuseHopeless(long nowNanos, Notices notices) {
    int ahead = 0;
    for (Queued queued : List.copyOf(queue)) {
      Waiter waiter = queued.waiter();
      double startNanos = (double) (nowNanos + rate.waitNanos(ahead, nowNanos));
      double endNanos = startNanos + slowdown.atBestNanos(workNanos(queued, nowNanos), nowNanos);
      Optional<ResultCode> code = Optional.empty();
      if (waiter.deadlineNanos() <= nowNanos) {
        code = Optional.of(ResultCode.DEADLINE_BEFORE_START);
      } else if (startNanos >= waiter.deadlineNanos()) {
        code = Optional.of(ResultCode.OVERLOADED);
      } else if (waiter.patiencePercent() > 0 && endNanos > queued.latestEndNanos()) {
        if (!hasSlot(queued, nowNanos)) {
          noteCrowded(queued, nowNanos);
        }
        code = Optional.of(tooLate(waiter, endNanos));
      }
      if (code.isPresent()) {
        queue.remove(queued);
        notices.refuse(waiter, refuse(code.get(), nowNanos));
      } else {
        ahead++;
      }
    }
  }

  // The first that can be in time; if none can, the first.
  private Optional<Queued> next(long nowNanos) {
    List<Queued> startable =
        queue.stream()
            .filter(q -> hasSlot(q, nowNanos) && mayStart(q, nowNanos))
            .sorted(order())
            .toList();
    return startable.stream()
        .filter(q -> nowNanos + expectedNanos(q, nowNanos) <= q.waiter().objectiveNanos())
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
    Notices notices = new Notices();
    synchronized (this) {
      slowdown.onUnknown(nowNanos);
      admitNext(nowNanos, notices);
    }
    notices.deliver();
  }

  /**
   * Decides again on those that wait, as time alone may have changed what may start. Waiters call
   * it now and then, so that none depends on a single event.
   *
   * @param nowNanos the current time
   */
  public void recheck(long nowNanos) {
    Notices notices = new Notices();
    synchronized (this) {
      admitNext(nowNanos, notices);
    }
    notices.deliver();
  }

  /**
   * Takes in how much longer work takes at the target at this moment.
   *
   * @param factor 1 for the usual speed, 4 if work takes four times as long
   * @param nowNanos the current time
   */
  public void onSlowdown(double factor, long nowNanos) {
    Notices notices = new Notices();
    synchronized (this) {
      slowdown.onReport(factor, nowNanos);
      admitNext(nowNanos, notices);
    }
    notices.deliver();
  }

  /**
   * Takes in what an answer of the target says of the rate of requests that it takes.
   *
   * @param stated the rate
   * @param sentNanos when the request was handed over
   * @param nowNanos the current time
   */
  public void onLimit(TargetNotice.Limit stated, long sentNanos, long nowNanos) {
    Notices notices = new Notices();
    synchronized (this) {
      switch (stated) {
        case TargetNotice.Limit.Rate named -> rate.onNamed(named.requestsPerSecond(), nowNanos);
        case TargetNotice.Limit.Unstated unstated -> {
          if (rate.onUnnamed(sentNanos)) {
            admitNext(nowNanos, notices);
          }
        }
        // It still limits, and may have been misread; what was known before holds.
        case TargetNotice.Limit.Unreadable unreadable -> {}
      }
    }
    notices.deliver();
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
    return rate.onRemembered(perSecond, nowNanos);
  }

  /**
   * {@return what is known of the rate that the target states, also that it has ended; empty if it
   * never stated one}
   */
  public synchronized Optional<TargetNotice.Limit> statedLimit() {
    return rate.stated();
  }

  /** Forgets the rate that the target has stated, as for a new run. */
  public synchronized void forgetLimit() {
    rate.reset();
  }

  /**
   * Returns when a waiter that was told nothing has its decision checked again.
   *
   * @param nowNanos the current time
   * @return time until {@link #recheck} in nanoseconds, at least 1
   */
  public synchronized long recheckNanos(long nowNanos) {
    long startNanos = rate.waitNanos(0, nowNanos);
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
    Notices notices = new Notices();
    synchronized (this) {
      closed = Optional.of(code);
      for (Queued queued : queue) {
        notices.refuse(queued.waiter(), refuse(code, nowNanos));
      }
      queue.clear();
    }
    notices.deliver();
  }

  /**
   * Admits requests again.
   *
   * @param changed what the target can do
   */
  public synchronized void open(Limits changed) {
    limits = changed;
    closed = Optional.empty();
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
        closed.isPresent(),
        rate.waitNanos(queue.size(), nowNanos));
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
        + hundredths(slowdown.expected(nowNanos))
        + " reported-slowdown="
        + hundredths(slowdown.lastReported())
        + " report-age-ms="
        + Math.min(slowdown.ageNanos(nowNanos) / NANOS_PER_MILLI, MAX_SHOWN_AGE_MILLIS)
        + (rate.limits()
            ? " limit="
                + hundredths(rate.perSecond().getAsDouble())
                + " next-start-ms="
                + rate.waitNanos(0, nowNanos) / NANOS_PER_MILLI
            : "");
  }

  private static double hundredths(double value) {
    return Math.round(value * HUNDRED) / HUNDRED;
  }

  // Collects what waiters are to be told, so that they are told outside the lock.
  private static final class Notices {
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
