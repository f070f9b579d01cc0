package org.amaranthmoor.daemon.target;

import java.io.InputStream;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.target.HandOver;

/**
 * A request that has arrived at this target side.
 *
 * <p>Safe for use by several threads: one thread runs the call, another may cancel it.
 */
public final class InboundCall {

  private final CallRequest request;
  private final InputStream remainingBody;
  private final HandOver handOver;
  private final AtomicReference<Runnable> abort = new AtomicReference<>(InboundCall::doNothing);
  private volatile boolean cancelled;

  /**
   * Creates a call.
   *
   * @param request the request
   * @param remainingBody the body after the request's prefix
   * @param handOver the point at which the request is committed to the target
   */
  public InboundCall(CallRequest request, InputStream remainingBody, HandOver handOver) {
    this.request = request;
    this.remainingBody = remainingBody;
    this.handOver = handOver;
  }

  /** {@return the request} */
  public CallRequest request() {
    return request;
  }

  /** {@return the body after the request's prefix} */
  InputStream remainingBody() {
    return remainingBody;
  }

  /** {@return the point at which the request is committed to the target} */
  public HandOver handOver() {
    return handOver;
  }

  /** Cancels the call: fences it, and runs the action set by {@link #onCancel}. */
  public void cancel() {
    cancelled = true;
    handOver.fence();
    abort.get().run();
  }

  /** {@return whether the call was cancelled} */
  boolean cancelled() {
    return cancelled;
  }

  // Sets the action that cancels the call, and runs it at once if the call is cancelled already.
  void onCancel(Runnable action) {
    abort.set(action);
    if (cancelled) {
      action.run();
    }
  }

  void clearOnCancel() {
    abort.set(InboundCall::doNothing);
  }

  private static void doNothing() {}
}
