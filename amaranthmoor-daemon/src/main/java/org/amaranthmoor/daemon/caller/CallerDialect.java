package org.amaranthmoor.daemon.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Outcome;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * How callers state the facts of a call in HTTP, and how they are told its end.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface CallerDialect {

  /**
   * Facts that a caller states.
   *
   * @param id the caller's id of the request
   * @param parent the request that makes this one while it runs, if the id names one
   * @param timeout how long the caller waits, if it says so
   * @param key key that marks repeats of the request, if it has one
   * @param attempt attempt number of the caller's own retries, 1 for the first
   */
  record CallMetadata(
      CallId id,
      Optional<CallId> parent,
      Optional<Duration> timeout,
      Optional<IdempotencyKey> key,
      int attempt) {}

  /** The facts, or why they cannot be read. */
  sealed interface ParseResult {
    /**
     * The facts are valid.
     *
     * @param metadata the facts
     */
    record Valid(CallMetadata metadata) implements ParseResult {}

    /**
     * The request is wrong.
     *
     * @param refusal what is wrong
     */
    record Invalid(Outcome.NotRun<?> refusal) implements ParseResult {}
  }

  /**
   * Reads the facts of a call.
   *
   * @param http the request
   * @param route its route
   * @return the facts, or why they cannot be read
   */
  ParseResult parse(ClassicHttpRequest http, Route route);

  /**
   * Returns whether a caller's header is passed on to the target.
   *
   * @param lowerCaseName the header's name in lower case
   * @return whether it is passed on; headers of the connection never are
   */
  boolean forwardsRequestHeader(String lowerCaseName);

  /** {@return headers that this node adds to each request} */
  List<HeaderField> addedRequestHeaders();

  /**
   * Completes a target's answer for the caller.
   *
   * @param response the answer
   * @param server the target's node, if it is known
   */
  void addResponseHeaders(ClassicHttpResponse response, Optional<Server> server);

  /**
   * {@return the part of its time left that a refused caller waits before it comes back, if such
   * callers wait no longer than that; empty if they follow any advice}
   */
  OptionalDouble maxRetryDelayShare();

  /**
   * Tells the caller that its request was not run.
   *
   * @param notRun why
   * @return the answer
   */
  ClassicHttpResponse notRunResponse(Outcome.NotRun<?> notRun);

  /**
   * Tells the caller that nobody knows whether its request was run.
   *
   * @param unknown why
   * @return the answer
   */
  ClassicHttpResponse unknownResponse(Outcome.Unknown<CallResponse> unknown);
}
