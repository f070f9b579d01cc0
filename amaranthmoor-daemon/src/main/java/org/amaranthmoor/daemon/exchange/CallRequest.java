package org.amaranthmoor.daemon.exchange;

import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;

/**
 * A caller's request, without the rest of a long body.
 *
 * <p>Immutable but for the prefix, which must not be changed; safe for use by several threads.
 *
 * @param service the service
 * @param method the HTTP method
 * @param path the path with query
 * @param headers headers for the target, without those of the connection
 * @param deadlineNanos the deadline in monotonic nanoseconds of this process
 * @param attempt attempt number, 1 for the first
 * @param idempotent whether the request may be run again
 * @param priority order in which it gets a slot
 * @param key the caller's key, if the request is not idempotent and has one
 * @param bodyPrefix first bytes of the body
 * @param bodyComplete whether the prefix is the whole body
 * @param bodyLength length of the whole body in bytes, or -1 if not known
 * @param id the caller's id of the request
 * @param rule the rule that it matched
 * @param objectiveNanos until when an answer counts as in time, in monotonic nanoseconds of this
 *     process
 * @param parentAttempt whether a request that runs at a target already needs this one
 * @param maxAttempts most targets that the request may be sent to
 * @param patiencePercent share of the time that the work leaves until the objective which a target
 *     side may let the request wait, in percent; 0 to take it until the deadline
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
    int patiencePercent) {

  /** Whether a request that runs already needs this one. */
  public enum ParentAttempt {
    /** No request needs it; a caller of its own waits for it. */
    NONE,

    /** A first attempt of a request needs it. */
    FIRST,

    /** A repeated attempt of a request needs it, so that it is a repeat itself. */
    RETRY
  }

  /** {@return whether a request that runs already needs this one} */
  public boolean nested() {
    return parentAttempt != ParentAttempt.NONE;
  }

  /** Most bytes of a body that an entry side keeps for another attempt. */
  public static final int MAX_PREFIX_BYTES = 64 * 1024;

  /** Length of a body whose length is not known. */
  public static final long UNKNOWN_LENGTH = -1;

  /**
   * Returns the same request as another attempt.
   *
   * @param number the attempt number
   * @param patience share of the time that the work leaves until the objective which the target
   *     side may let the request wait, in percent; 0 for all time until the deadline
   * @return the request
   */
  public CallRequest withAttempt(int number, int patience) {
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
        patience);
  }
}
