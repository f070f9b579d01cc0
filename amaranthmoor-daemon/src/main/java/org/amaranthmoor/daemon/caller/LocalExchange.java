package org.amaranthmoor.daemon.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthmoor.daemon.exchange.BodyPipe;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Deadline;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.daemon.target.InboundCall;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.HandOver;

/**
 * An exchange with this node's own target side.
 *
 * <p>Confined to the call's thread; the request runs on a virtual thread of its own.
 */
final class LocalExchange implements Exchange {

  // Created in advance, as a full heap may be the cause.
  private static final Outcome<CallResponse> FAILED =
      new Outcome.Unknown<>(ResultCode.NODE_FAILED, "the target side failed unexpectedly");

  private static final Outcome<CallResponse> FAILED_BEFORE_HAND_OVER =
      new Outcome.NotRun<>(ResultCode.OVERLOADED, 0, "the target side failed before the hand-over");

  private final CompletableFuture<Outcome<CallResponse>> outcome = new CompletableFuture<>();
  private final AtomicBoolean responseClosed = new AtomicBoolean();
  private final BodyPipe body;
  private final InboundCall call;
  private final TargetSide targetSide;
  private final Runnable task = this::run;
  private volatile boolean cancelled;

  LocalExchange(TargetSide targetSide, CallRequest request, TimeSource time) {
    this.targetSide = targetSide;
    // One piece waits while the next is read, which is what a request acquires memory for.
    this.body =
        new BodyPipe(
            Exchange.MAX_SEND_BYTES, new Deadline(request.deadlineNanos(), time), bytes -> {});
    this.call = new InboundCall(request, body, new HandOver());
  }

  /**
   * Starts the request. If this throws, the request has not been handed over and never will be.
   *
   * @param executor runs the request
   */
  void startOn(Executor executor) {
    try {
      executor.execute(task);
    } catch (RuntimeException | Error e) {
      if (call.handOver().fence()) {
        throw e;
      }
      // The request was handed over before the executor failed, so its outcome follows.
    }
  }

  private void run() {
    try {
      outcome.complete(targetSide.run(call));
    } finally {
      // An unexpected failure must not leave the caller without an outcome.
      if (!outcome.isDone()) {
        outcome.complete(call.handOver().fence() ? FAILED_BEFORE_HAND_OVER : FAILED);
      }
      body.close();
      if (cancelled) {
        closeResponse();
      }
    }
  }

  // An unread response would hold its slot.
  private void closeResponse() {
    if (outcome.getNow(FAILED) instanceof Outcome.Answered<CallResponse> answered
        && responseClosed.compareAndSet(false, true)) {
      answered.response().close();
    }
  }

  @Override
  public Optional<Outcome<CallResponse>> await(long nanos) throws InterruptedException {
    try {
      return Optional.of(outcome.get(nanos, TimeUnit.NANOSECONDS));
    } catch (TimeoutException e) {
      return Optional.empty();
    } catch (ExecutionException e) {
      throw new IllegalStateException(
          "target side completed with an exception instead of an outcome", e);
    }
  }

  @Override
  public void onOutcome(Runnable listener) {
    var unused = outcome.whenComplete((result, failure) -> listener.run());
  }

  @Override
  public boolean awaitRoom(long nanos) throws InterruptedException {
    return body.awaitRoom(nanos);
  }

  @Override
  public boolean send(byte[] bytes, boolean last) throws InterruptedException {
    boolean accepted = bytes.length == 0 || body.write(bytes);
    if (last) {
      body.finish();
    }
    return accepted && !outcome.isDone();
  }

  @Override
  public void withdraw() {
    try {
      body.fail("the call was withdrawn");
    } finally {
      call.cancel();
    }
  }

  @Override
  public boolean fence(long nanos) {
    return call.handOver().fence();
  }

  @Override
  public void cancel() {
    cancelled = true;
    try {
      body.fail("the call was cancelled");
    } finally {
      call.cancel();
      closeResponse();
    }
  }
}
