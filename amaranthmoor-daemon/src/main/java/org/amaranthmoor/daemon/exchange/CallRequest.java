package org.amaranthmoor.daemon.exchange;

import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TeamName;

/**
 * A caller's request, with only the first bytes of its body.
 *
 * <p>Immutable except for the bytes of the prefix, which must not be modified; safe for use by
 * several threads.
 *
 * @param service the service
 * @param method the HTTP method
 * @param path the path with the query
 * @param headers headers for the target, without hop-by-hop headers
 * @param deadlineNanos the deadline in monotonic nanoseconds of this process
 * @param attempt attempt number, 1 for the first
 * @param idempotent whether the request may be run more than once
 * @param priority order in which the request gets a slot
 * @param key the caller's key, if the request is not idempotent and has one
 * @param bodyPrefix first bytes of the body
 * @param bodyComplete whether the prefix is the whole body
 * @param bodyLength length of the whole body in bytes, or {@link #UNKNOWN_LENGTH}
 * @param id the caller's id of the request
 * @param rule the routing rule that the request matched
 * @param objectiveNanos time until which a response meets the latency objective, in monotonic
 *     nanoseconds of this process
 * @param parentAttempt which attempt of a request in progress at a target this request is nested in
 * @param maxAttempts maximum number of targets that the request may be sent to
 * @param maxWaitPercent part of the slack (the time until the objective, less the expected service
 *     time) for which a target side may queue the request, in percent; 0 allows it to queue the
 *     request until the deadline
 * @param team the team that holds the caller's key; empty if the caller used none
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallRequest(
    ServiceName service,
    String method,
    String path,
    List<HeaderField> headers,
    long deadlineNanos,
    int attempt,
    boolean idempotent,
    Priority priority,
    Optional<IdempotencyKey> key,
    byte[] bodyPrefix,
    boolean bodyComplete,
    long bodyLength,
    CallId id,
    RuleName rule,
    long objectiveNanos,
    ParentAttempt parentAttempt,
    int maxAttempts,
    int maxWaitPercent,
    Optional<TeamName> team) {

  /** The attempt of the parent, a request in progress at a target that waits for this request. */
  public enum ParentAttempt {
    /** There is no parent; the caller waits for the response itself. */
    NONE,

    /** The parent is in its first attempt. */
    FIRST,

    /** The parent is in a retry, so this request counts as a retry too. */
    RETRY
  }

  /** {@return whether a request in progress at a target waits for this one} */
  public boolean nested() {
    return parentAttempt != ParentAttempt.NONE;
  }

  /** Largest part of a body that an entry side keeps for a retry, in bytes. */
  public static final int MAX_PREFIX_BYTES = 64 * 1024;

  /** Value of {@link #bodyLength()} for a body of unknown length. */
  public static final long UNKNOWN_LENGTH = -1;

  /**
   * Returns this request with a deadline that is not after a limit.
   *
   * @param latestDeadlineNanos the limit, in monotonic nanoseconds of this process
   * @return the request
   */
  public CallRequest withDeadlineAtMost(long latestDeadlineNanos) {
    return deadlineNanos - latestDeadlineNanos <= 0
        ? this
        : new CallRequest(
            service,
            method,
            path,
            headers,
            latestDeadlineNanos,
            attempt,
            idempotent,
            priority,
            key,
            bodyPrefix,
            bodyComplete,
            bodyLength,
            id,
            rule,
            objectiveNanos,
            parentAttempt,
            maxAttempts,
            maxWaitPercent,
            team);
  }

  /**
   * Returns this request as another attempt.
   *
   * @param number the attempt number
   * @param waitPercent part of the slack for which the target side may queue the request, in
   *     percent; 0 allows it to queue the request until the deadline
   * @return the request
   */
  public CallRequest withAttempt(int number, int waitPercent) {
    return new CallRequest(
        service,
        method,
        path,
        headers,
        deadlineNanos,
        number,
        idempotent,
        priority,
        key,
        bodyPrefix,
        bodyComplete,
        bodyLength,
        id,
        rule,
        objectiveNanos,
        parentAttempt,
        maxAttempts,
        waitPercent,
        team);
  }
}
