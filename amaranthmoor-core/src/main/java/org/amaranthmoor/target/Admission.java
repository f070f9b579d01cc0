package org.amaranthmoor.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;

/**
 * Admits, queues or refuses requests to one target by exact knowledge of its load.
 *
 * <p>Invariants: at most {@code slots} requests are admitted and not released; a waiter gets
 * exactly one final decision; a request that cannot be expected to finish before its deadline is
 * refused at once, not later. Waiters are told outside the lock. Safe for use by several threads.
 */
public final class Admission {

  private static final List<Priority> LOWEST_FIRST = List.of(Priority.values()).reversed();
  private static final double SERVICE_TIME_WEIGHT = 0.1;
  private static final long FIRST_SERVICE_TIME_NANOS = 5_000_000L;

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
    /** {@return its priority} */
    Priority priority();

    /** {@return its deadline in monotonic nanoseconds} */
    long deadlineNanos();

    /** Tells that the request has a slot, which must be released. */
    void admitted();

    /**
     * Tells that the request is not run.
     *
     * @param refusal why
     */
    void refused(Decision.Refused refusal);
  }

  private final int slots;
  private final int queueLimit;
  private final RefusalAdvice advice;
  private final Map<Priority, Deque<Waiter>> queues = new EnumMap<>(Priority.class);
  private int inFlight;
  private int queued;
  private double serviceTimeNanos = FIRST_SERVICE_TIME_NANOS;
  private boolean draining;

  /**
   * Creates an admission with nothing in flight.
   *
   * @param slots requests the target may run at once, at least 1
   * @param queueLimit requests that may wait, at least 0
   * @param random source of randomness for the advice to come back
   * @param nowNanos the current time
   */
  public Admission(int slots, int queueLimit, RandomGenerator random, long nowNanos) {
    if (slots < 1 || queueLimit < 0) {
      throw new IllegalArgumentException(
          "slots must be at least 1 and queueLimit at least 0, but were: "
              + slots
              + ", "
              + queueLimit);
    }
    this.slots = slots;
    this.queueLimit = queueLimit;
    this.advice = new RefusalAdvice(random, nowNanos);
    for (Priority priority : Priority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
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
    }
    notices.deliver();
    return decision;
  }

  private Decision decide(Waiter waiter, long nowNanos, Notices notices) {
    if (draining) {
      return refuse(ResultCode.DRAINING, nowNanos);
    }
    if (waiter.deadlineNanos() <= nowNanos) {
      return refuse(ResultCode.DEADLINE_BEFORE_START, nowNanos);
    }
    if (inFlight < slots && queued == 0) {
      inFlight++;
      return new Decision.Admitted();
    }
    if (!canFinish(waiter, nowNanos)) {
      return refuse(ResultCode.OVERLOADED, nowNanos);
    }
    if (queued >= queueLimit && !displace(waiter.priority(), nowNanos, notices)) {
      return refuse(ResultCode.OVERLOADED, nowNanos);
    }
    queues.get(waiter.priority()).addLast(waiter);
    queued++;
    return new Decision.Queued();
  }

  private boolean canFinish(Waiter waiter, long nowNanos) {
    int ahead = 1;
    for (Priority priority : Priority.values()) {
      if (priority.compareTo(waiter.priority()) <= 0) {
        ahead += queues.get(priority).size();
      }
    }
    double startNanos = serviceTimeNanos * ahead / slots;
    return nowNanos + startNanos + serviceTimeNanos <= waiter.deadlineNanos();
  }

  // Refuses the newest waiter of the lowest priority below the given one.
  private boolean displace(Priority priority, long nowNanos, Notices notices) {
    for (Priority lowest : LOWEST_FIRST) {
      Waiter last = lowest.compareTo(priority) > 0 ? queues.get(lowest).pollLast() : null;
      if (last != null) {
        queued--;
        notices.refuse(last, refuse(ResultCode.OVERLOADED, nowNanos));
        return true;
      }
    }
    return false;
  }

  private Decision.Refused refuse(ResultCode code, long nowNanos) {
    long drainNanos = (long) (serviceTimeNanos * (queued + 1) / slots);
    return new Decision.Refused(code, advice.onRefused(drainNanos, nowNanos));
  }

  /**
   * Gives a slot back and admits the next waiter that can still finish.
   *
   * @param heldNanos how long the slot was held, or a negative number if the target was not used
   * @param nowNanos the current time
   */
  public void release(long heldNanos, long nowNanos) {
    Notices notices = new Notices();
    synchronized (this) {
      inFlight--;
      if (heldNanos >= 0) {
        serviceTimeNanos += SERVICE_TIME_WEIGHT * (heldNanos - serviceTimeNanos);
        advice.onServed(nowNanos);
      }
      admitNext(nowNanos, notices);
    }
    notices.deliver();
  }

  private void admitNext(long nowNanos, Notices notices) {
    while (inFlight < slots && queued > 0) {
      Waiter next = pollNext();
      if (next.deadlineNanos() <= nowNanos) {
        notices.refuse(next, refuse(ResultCode.DEADLINE_BEFORE_START, nowNanos));
      } else {
        inFlight++;
        notices.admit(next);
      }
    }
  }

  private Waiter pollNext() {
    for (Deque<Waiter> queue : queues.values()) {
      Waiter next = queue.pollFirst();
      if (next != null) {
        queued--;
        return next;
      }
    }
    throw new IllegalStateException("queued is " + queued + ", but every queue is empty");
  }

  /**
   * Takes a waiter out of the queue.
   *
   * @param waiter the waiter
   * @return whether it was still waiting; if not, it was told or is being told its decision
   */
  public synchronized boolean withdraw(Waiter waiter) {
    boolean removed = queues.get(waiter.priority()).remove(waiter);
    if (removed) {
      queued--;
    }
    return removed;
  }

  /**
   * Refuses all waiters and everything that arrives from now on.
   *
   * @param nowNanos the current time
   */
  public void drain(long nowNanos) {
    Notices notices = new Notices();
    synchronized (this) {
      draining = true;
      while (queued > 0) {
        notices.refuse(pollNext(), refuse(ResultCode.DRAINING, nowNanos));
      }
    }
    notices.deliver();
  }

  /** {@return the exact load at this moment} */
  public synchronized LoadReport load() {
    return new LoadReport(inFlight, queued, slots, (long) serviceTimeNanos, draining);
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
