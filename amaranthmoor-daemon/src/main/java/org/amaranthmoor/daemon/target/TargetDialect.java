package org.amaranthmoor.daemon.target;

import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;

/**
 * How a node states the facts of a call to its target in HTTP, and what the target's headers mean.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface TargetDialect {

  /** What an answer's head says of the request. */
  sealed interface Classification {
    /** The answer belongs to the request. */
    record Valid() implements Classification {}

    /**
     * The target says that it has not run the request.
     *
     * @param code why
     */
    record NotRun(ResultCode code) implements Classification {}

    /** The answer belongs to another request; the one that is waited for may follow. */
    record Mismatched() implements Classification {}

    /** The answer belongs to the request, but must not reach the caller. */
    record Unusable() implements Classification {}
  }

  /**
   * Adds the headers that state the facts of a call.
   *
   * @param http the request for the target
   * @param request the call
   * @param run the run that is to serve it, if runs are told apart
   * @param nanosLeft time until the deadline, in nanoseconds
   */
  void addCallHeaders(
      HttpMessage http, CallRequest request, Optional<TargetRun> run, long nanosLeft);

  /**
   * Judges an answer by its head.
   *
   * @param request the call
   * @param response the head
   * @return what it says
   */
  Classification classify(CallRequest request, HttpResponse response);

  /**
   * Returns whether an answer is one to the health check, and not a late one to a request.
   *
   * @param response the head
   * @return whether it is
   */
  boolean isHealthCheckResponse(HttpResponse response);

  /**
   * Returns how much longer work takes at the target at this moment.
   *
   * @param response the head of an answer
   * @return 1 for the usual speed, 4 if work takes four times as long; empty if it does not say
   */
  OptionalDouble slowdown(HttpResponse response);

  /**
   * Returns what the target states of itself for all its callers.
   *
   * @param response the head of an answer
   * @return what it states
   */
  TargetNotice notice(HttpResponse response);
}
