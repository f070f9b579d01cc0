package org.amaranthmoor.daemon.target;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.TeamName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.Admission.Decision;

/**
 * Waits for the admission of a request, on the thread that runs the request.
 *
 * <p>Safe for use by several threads.
 */
final class SlotWaiter implements Admission.Waiter {

  private static final Decision ADMITTED = new Decision.Admitted();

  /** Longest wait for a decision that the admission has made, in nanoseconds. */
  private static final long NOTIFICATION_NANOS = 1_000_000_000L;

  /** Part of its time that is left to a request when it leaves the queue without a slot. */
  private static final double UNUSED_SHARE = 0.02;

  /**
   * Longest time before the deadline at which a request leaves the queue, in nanoseconds: several
   * network delays within a region, so that the refusal is at the entry side by the deadline.
   */
  private static final long MAX_UNUSED_NANOS = 20_000_000L;

  private final CallRequest request;
  private final CompletableFuture<Decision> decision = new CompletableFuture<>();
  private final AtomicBoolean left = new AtomicBoolean();

  SlotWaiter(CallRequest request) {
    this.request = request;
  }

  CallRequest request() {
    return request;
  }

  @Override
  public Priority priority() {
    return request.priority();
  }

  @Override
  public long deadlineNanos() {
    return request.deadlineNanos();
  }

  @Override
  public RuleName rule() {
    return request.rule();
  }

  @Override
  public Optional<TeamName> team() {
    return request.team();
  }

  @Override
  public boolean nested() {
    return request.nested();
  }

  @Override
  public long objectiveNanos() {
    return Math.min(request.objectiveNanos(), request.deadlineNanos());
  }

  @Override
  public int maxWaitPercent() {
    return request.maxWaitPercent();
  }

  @Override
  public void admitted() {
    decision.complete(ADMITTED);
  }

  @Override
  public void refused(Decision.Refused refusal) {
    decision.complete(refusal);
  }

  /**
   * Waits for the decision until shortly before the deadline, and lets the admission recheck its
   * queue meanwhile.
   */
  Decision await(Admission admission, TimeSource time) throws InterruptedException {
    long startNanos = time.nanos();
    long endNanos = lastStartNanos(request.deadlineNanos(), startNanos);
    long leftNanos = endNanos - startNanos;
    while (leftNanos > 0) {
      try {
        long checkNanos = Math.min(leftNanos, admission.recheckNanos(time.nanos()));
        return decision.get(checkNanos, TimeUnit.NANOSECONDS);
      } catch (TimeoutException e) {
        admission.recheck(time.nanos());
      } catch (ExecutionException e) {
        throw new IllegalStateException(
            "the admission decision was completed with an exception", e);
      }
      leftNanos = endNanos - time.nanos();
    }
    return withdraw(admission, ResultCode.DEADLINE_BEFORE_START, time);
  }

  /**
   * Returns when a request without a slot leaves the queue. Work that started in the time that is
   * left would end late, and the refusal needs it to arrive by the deadline.
   *
   * @param deadlineNanos its deadline, in monotonic nanoseconds
   * @param nowNanos the current time
   * @return the time, in monotonic nanoseconds
   */
  static long lastStartNanos(long deadlineNanos, long nowNanos) {
    double unusedNanos = Math.max(0, deadlineNanos - nowNanos) * UNUSED_SHARE;
    return deadlineNanos - (long) Math.min(MAX_UNUSED_NANOS, unusedNanos);
  }

  /**
   * Leaves the queue; a decision that was made at the same time takes precedence, unless an error
   * has kept its notification away.
   */
  Decision withdraw(Admission admission, ResultCode code, TimeSource time) {
    Decision refused = new Decision.Refused(code, 0);
    if (admission.withdraw(this)) {
      decision.complete(refused);
    }
    if (!decision.isDone()) {
      var unused =
          decision
              .copy()
              .completeOnTimeout(refused, NOTIFICATION_NANOS, TimeUnit.NANOSECONDS)
              .join();
    }
    if (decision.complete(refused)) {
      leave(admission, -1, time);
    }
    return decision.join();
  }

  /**
   * Leaves the queue or gives the slot back, whichever it has. Only the first call has an effect.
   *
   * @param heldNanos as for {@link Admission#release}
   */
  void leave(Admission admission, long heldNanos, TimeSource time) {
    if (left.compareAndSet(false, true)) {
      // A request that waits has no slot, and one that has left the queue may have one.
      if (!admission.withdraw(this)) {
        admission.release(this, heldNanos, time.nanos());
      }
    }
  }
}
