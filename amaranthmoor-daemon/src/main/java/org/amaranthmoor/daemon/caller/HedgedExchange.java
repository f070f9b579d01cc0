package org.amaranthmoor.daemon.caller;

import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.TimeSource;

/**
 * An exchange of a request that may be sent to a second target if the first one is slow.
 *
 * <p>Ends with the first answer that is not a failure, and cancels the other exchange at once. A
 * failure of one exchange is used only once the other one has failed too. Invariants: the copy is
 * started at most once, and never after the first exchange has ended; the response of at most one
 * exchange is returned, and that of the other one is closed. Confined to the call's thread.
 */
final class HedgedExchange implements Exchange {

  private static final int MIN_FAILURE_STATUS = 500;

  /** The copy of a request, in progress at another target. */
  interface Copy {

    /** {@return its exchange} */
    Exchange exchange();

    /**
     * Records how the copy has ended.
     *
     * @param outcome its outcome, or empty if it was cancelled
     * @param used whether the caller gets its outcome
     */
    void onEnd(Optional<Outcome<CallResponse>> outcome, boolean used);
  }

  private final Exchange first;
  private final long copyDueNanos;
  private final Supplier<Optional<Copy>> copyStarter;
  private final TimeSource time;
  private final Semaphore outcomes = new Semaphore(0);
  private Optional<Copy> copy = Optional.empty();
  private boolean copyDecided;
  private boolean copyStarted;
  private boolean copyUsed;
  private Optional<Outcome<CallResponse>> firstFailure = Optional.empty();

  /**
   * Creates an exchange whose copy is not started.
   *
   * @param first the exchange with the first target
   * @param copyDueNanos when the copy is due, in monotonic nanoseconds
   * @param copyStarter starts the copy, or decides that there is none
   * @param time the clock
   */
  HedgedExchange(
      Exchange first, long copyDueNanos, Supplier<Optional<Copy>> copyStarter, TimeSource time) {
    this.first = first;
    this.copyDueNanos = copyDueNanos;
    this.copyStarter = copyStarter;
    this.time = time;
  }

  /** {@return whether the outcome is that of the copy} */
  boolean copyUsed() {
    return copyUsed;
  }

  /** {@return the failure of the first exchange, if it has ended with one} */
  Optional<Outcome<CallResponse>> firstFailure() {
    return firstFailure;
  }

  @Override
  public Optional<Outcome<CallResponse>> await(long nanos) throws InterruptedException {
    long endNanos = time.nanos() + nanos;
    while (true) {
      if (!copyDecided && time.nanos() - copyDueNanos >= 0) {
        Optional<Outcome<CallResponse>> ended = first.await(0);
        if (ended.isPresent()) {
          return ended;
        }
        startCopy();
      }
      Optional<Outcome<CallResponse>> outcome =
          copy.isPresent() ? awaitBoth(copy.get(), endNanos) : awaitFirst(endNanos);
      if (outcome.isPresent() || time.nanos() - endNanos >= 0) {
        return outcome;
      }
    }
  }

  private void startCopy() {
    copyDecided = true;
    copy = copyStarter.get();
    copyStarted = copy.isPresent();
    copy.ifPresent(
        started -> {
          first.onOutcome(outcomes::release);
          started.exchange().onOutcome(outcomes::release);
        });
  }

  private Optional<Outcome<CallResponse>> awaitFirst(long endNanos) throws InterruptedException {
    if (firstFailure.isPresent()) {
      return firstFailure;
    }
    long untilNanos = copyDecided || copyDueNanos - endNanos >= 0 ? endNanos : copyDueNanos;
    return first.await(Math.max(0, untilNanos - time.nanos()));
  }

  private Optional<Outcome<CallResponse>> awaitBoth(Copy started, long endNanos)
      throws InterruptedException {
    Optional<Outcome<CallResponse>> outcome = firstSuccess(started);
    if (outcome.isPresent() || copy.isEmpty()) {
      return outcome;
    }
    var unused = outcomes.tryAcquire(Math.max(0, endNanos - time.nanos()), TimeUnit.NANOSECONDS);
    return firstSuccess(started);
  }

  private Optional<Outcome<CallResponse>> firstSuccess(Copy started) throws InterruptedException {
    if (firstFailure.isEmpty()) {
      Optional<Outcome<CallResponse>> ofFirst = first.await(0);
      if (ofFirst.isPresent() && !isFailure(ofFirst.get())) {
        endCopy(started, false);
        return ofFirst;
      }
      firstFailure = ofFirst;
    }
    Optional<Outcome<CallResponse>> ofCopy = started.exchange().await(0);
    if (ofCopy.isEmpty()) {
      return Optional.empty();
    }
    if (!isFailure(ofCopy.get())) {
      return useCopy(started, ofCopy.get());
    }
    if (firstFailure.isPresent() && rank(ofCopy.get()) > rank(firstFailure.get())) {
      return useCopy(started, ofCopy.get());
    }
    endCopy(started, false);
    return firstFailure;
  }

  private Optional<Outcome<CallResponse>> useCopy(Copy started, Outcome<CallResponse> outcome) {
    copy = Optional.empty();
    copyUsed = true;
    firstFailure.ifPresentOrElse(HedgedExchange::close, first::cancel);
    started.onEnd(Optional.of(outcome), true);
    return Optional.of(outcome);
  }

  private void endCopy(Copy started, boolean used) throws InterruptedException {
    copy = Optional.empty();
    Optional<Outcome<CallResponse>> ended = started.exchange().await(0);
    ended.ifPresentOrElse(HedgedExchange::close, started.exchange()::cancel);
    started.onEnd(ended, used);
  }

  private static boolean isFailure(Outcome<CallResponse> outcome) {
    return !(outcome instanceof Outcome.Answered<CallResponse> answered)
        || answered.response().status() >= MIN_FAILURE_STATUS;
  }

  // A refusal is true of the call only if neither target may have run it, and what a target has
  // answered tells a caller more than that its outcome is unknown.
  private static int rank(Outcome<CallResponse> outcome) {
    return switch (outcome) {
      case Outcome.Answered<CallResponse> answered -> 2;
      case Outcome.Unknown<CallResponse> unknown -> 1;
      case Outcome.NotRun<CallResponse> notRun -> 0;
    };
  }

  private static void close(Outcome<CallResponse> outcome) {
    if (outcome instanceof Outcome.Answered<CallResponse> answered) {
      answered.response().close();
    }
  }

  @Override
  public void onOutcome(Runnable listener) {
    throw new UnsupportedOperationException("a hedged exchange is only awaited");
  }

  @Override
  public boolean awaitRoom(long nanos) throws InterruptedException {
    return first.awaitRoom(nanos);
  }

  @Override
  public boolean send(byte[] bytes, boolean last) throws InterruptedException {
    return first.send(bytes, last);
  }

  @Override
  public void withdraw() {
    copyDecided = true;
    try {
      first.withdraw();
    } finally {
      copy.ifPresent(started -> started.exchange().withdraw());
    }
  }

  // The copy may have run, and nothing is known about it any more.
  @Override
  public boolean fence(long nanos) throws InterruptedException {
    return !copyStarted && first.fence(nanos);
  }

  @Override
  public void cancel() {
    try {
      first.cancel();
    } finally {
      Optional<Copy> started = copy;
      copy = Optional.empty();
      started.ifPresent(
          open -> {
            open.exchange().cancel();
            open.onEnd(Optional.empty(), false);
          });
    }
  }
}
