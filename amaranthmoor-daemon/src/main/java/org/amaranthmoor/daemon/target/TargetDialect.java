package org.amaranthmoor.daemon.target;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Maps the metadata of calls to the HTTP headers that a target understands, and interprets the
 * headers of the target's responses.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface TargetDialect {

  /** What the head of a response says about the request. */
  sealed interface Classification {
    /** The response belongs to the request. */
    record Valid() implements Classification {}

    /**
     * The target states that it has not run the request.
     *
     * @param code the reason
     * @param identified whether the response names the request; a connection with a refusal that
     *     names none is not reused, as a copy of it could be taken for a refusal of the next
     *     request
     */
    record NotRun(ResultCode code, boolean identified) implements Classification {}

    /** The response belongs to another request; the expected one may follow. */
    record Mismatched() implements Classification {}

    /** The response belongs to the request, but must not reach the caller. */
    record Unusable() implements Classification {}
  }

  /**
   * Adds the headers that carry the metadata of a call.
   *
   * @param http the HTTP request for the target
   * @param request the call
   * @param run the run of the target that is to serve the request, empty if runs are not
   *     distinguished
   * @param nanosLeft time until the deadline, in nanoseconds
   */
  void addCallHeaders(
      HttpMessage http, CallRequest request, Optional<TargetRun> run, long nanosLeft);

  /**
   * Classifies a response by its head.
   *
   * @param request the call
   * @param response the head of the response
   * @param keptConnection whether the connection has carried an earlier exchange, of which the
   *     target may repeat the response
   * @return what the response says about the request
   */
  Classification classify(CallRequest request, HttpResponse response, boolean keptConnection);

  /**
   * Returns whether a response belongs to a health check that the target has run, and neither to an
   * earlier request nor to a health check that the target refused.
   *
   * @param response the head of the response
   * @return whether it belongs to a health check
   */
  boolean isHealthCheckResponse(HttpResponse response);

  /**
   * Returns whether the target states in its response to a health check that it is a given run and
   * not leaving.
   *
   * @param response the head of the response
   * @param run the run
   * @return whether the target confirms the run; false if it does not identify itself
   */
  boolean confirmsRun(HttpResponse response, TargetRun run);

  /**
   * Returns the factor by which the target is slower than usual at this moment.
   *
   * @param response the head of a response
   * @return 1 for the usual speed, 4 if work takes four times as long; empty if the response does
   *     not state it
   */
  OptionalDouble slowdown(HttpResponse response);

  /**
   * What a target states about itself in its response to a health check.
   *
   * @param slowdown the factor by which it is slower than usual, as in {@link #slowdown}
   * @param coldLeftNanos the remaining time of its cold start in nanoseconds, 0 if it is warm;
   *     empty if the response does not state it
   */
  record HealthReport(OptionalDouble slowdown, OptionalLong coldLeftNanos) {}

  /**
   * Returns what a target states in its response to a health check.
   *
   * @param response the head of the response
   * @return the report
   */
  HealthReport healthReport(HttpResponse response);

  /**
   * Returns the notice of the target to all its callers: the rate that it accepts and whether it is
   * leaving.
   *
   * @param response the head of a response
   * @return the notice
   */
  TargetNotice notice(HttpResponse response);

  /** {@return the name of the header that identifies the caller of a request, or empty if none} */
  Optional<String> callerHeader();
}
