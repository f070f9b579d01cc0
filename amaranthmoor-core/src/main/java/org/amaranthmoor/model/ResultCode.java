package org.amaranthmoor.model;

import java.util.Optional;

/**
 * Numbered results of a call, listed in docs/RESULT-CODES.md.
 *
 * <p>A number never changes its meaning: 1xx not run, 2xx unknown, 3xx answered by this system
 * instead of the target, 4xx not run because the request itself is invalid.
 *
 * <p>Immutable and safe for use by several threads.
 */
public enum ResultCode {
  /** The queue of the target side is full, or the request cannot start before its deadline. */
  OVERLOADED(101, Kind.NOT_RUN, 503, true),
  /** The target side is draining. */
  DRAINING(102, Kind.NOT_RUN, 503, true),
  /** No connection to the target could be opened. */
  TARGET_UNREACHABLE(103, Kind.NOT_RUN, 503, true),
  /** No connection to the node of the chosen target could be opened. */
  NODE_UNREACHABLE(104, Kind.NOT_RUN, 503, true),
  /** The service has no target that may take requests. */
  NO_TARGET(105, Kind.NOT_RUN, 503, false),
  /** The deadline passed before the request was handed to a target. */
  DEADLINE_BEFORE_START(106, Kind.NOT_RUN, 503, false),
  /** The caller cancelled the request before it was handed to a target. */
  CANCELLED(107, Kind.NOT_RUN, 503, false),
  /** The request addresses another incarnation of the node than the one that runs. */
  WRONG_INCARNATION(108, Kind.NOT_RUN, 503, true),
  /** The entry side fenced the request after it lost the connection. */
  FENCED(109, Kind.NOT_RUN, 503, true),
  /**
   * The target side does not own the request's idempotency key, or an earlier owner may have run
   * the request.
   */
  NOT_HOME(110, Kind.NOT_RUN, 503, true),
  /** The target side stores as many idempotency keys as it may. */
  KEY_LEDGER_FULL(111, Kind.NOT_RUN, 503, false),
  /** The target refused the request and states that it did not run it. */
  TARGET_SHED(112, Kind.NOT_RUN, 503, true),
  /** The node has no configuration yet, or is stopping. */
  NOT_READY(113, Kind.NOT_RUN, 503, false),
  /** Another target answers at the address of the intended one. */
  TARGET_REPLACED(114, Kind.NOT_RUN, 503, true),
  /** The target fails most requests and receives only occasional trial requests. */
  TARGET_FAILING(115, Kind.NOT_RUN, 503, true),
  /** The target side could answer before the objective, but not within the maximum wait. */
  TOO_LATE_HERE(116, Kind.NOT_RUN, 503, true),
  /** The target side has no target that accepts requests. */
  TARGET_ABSENT(117, Kind.NOT_RUN, 503, true),
  /** The node that received the call has too little processor time for it. */
  NODE_BUSY(118, Kind.NOT_RUN, 503, false),
  /** The rate limit that the target states does not allow this request in time. */
  TARGET_LIMITED(119, Kind.NOT_RUN, 503, true),
  /** The operator has evacuated the availability zone of the target. */
  ZONE_EVACUATED(120, Kind.NOT_RUN, 503, true),
  /** Targets crashed one after another when they ran such a request. */
  REQUEST_QUARANTINED(121, Kind.NOT_RUN, 503, false),
  /** The quota of the caller's team does not allow the request now. */
  QUOTA_EXCEEDED(122, Kind.NOT_RUN, 429, false),
  /** The connection to the target side was lost after the request may have been handed over. */
  LINK_LOST(201, Kind.UNKNOWN, 502, true),
  /** The deadline passed after the request may have been handed over. */
  DEADLINE_AFTER_START(202, Kind.UNKNOWN, 504, false),
  /** The target closed the connection or violated the protocol before its answer was complete. */
  TARGET_BROKE_OFF(203, Kind.UNKNOWN, 502, true),
  /** An earlier request with this idempotency key is still running. */
  KEY_IN_PROGRESS(204, Kind.UNKNOWN, 409, false),
  /** An earlier request with this key may have run at a target that no longer exists. */
  KEY_OUTCOME_LOST(205, Kind.UNKNOWN, 409, false),
  /** The key was created longer ago than the time for which keys are stored. */
  KEY_TOO_OLD(206, Kind.UNKNOWN, 409, false),
  /** An earlier request with this key ran, and its outcome is not known. */
  KEY_RAN_UNKNOWN(207, Kind.UNKNOWN, 409, false),
  /** The target sent an answer that belongs to another request. */
  ANSWER_FOREIGN(208, Kind.UNKNOWN, 502, true),
  /** The node failed by itself while it served the request. */
  NODE_FAILED(209, Kind.UNKNOWN, 502, true),
  /** An earlier request with this key was answered; the answer is no longer stored. */
  KEY_ALREADY_ANSWERED(301, Kind.ANSWERED, 409, false),
  /** No rule matches the request's path and host. */
  NO_RULE(401, Kind.INVALID, 404, false),
  /** A header of the request has a malformed value. */
  BAD_HEADER(402, Kind.INVALID, 400, false),
  /** The request needs the key of a team, and has none or an unknown one. */
  KEY_REJECTED(403, Kind.INVALID, 401, false);

  /** What a code states about the request. */
  public enum Kind {
    /** The request was not run and never will be. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN,
    /** The answer is complete. */
    ANSWERED,
    /** The request was not run, and repeating it unchanged is useless. */
    INVALID
  }

  private final int number;
  private final Kind kind;
  private final int httpStatus;
  private final boolean retryableOnOtherTarget;

  ResultCode(int number, Kind kind, int httpStatus, boolean retryableOnOtherTarget) {
    this.number = number;
    this.kind = kind;
    this.httpStatus = httpStatus;
    this.retryableOnOtherTarget = retryableOnOtherTarget;
  }

  /**
   * Finds a code by its number.
   *
   * @param number the number
   * @return the code
   * @throws IllegalArgumentException if no code has that number
   */
  public static ResultCode of(int number) {
    return find(number)
        .orElseThrow(() -> new IllegalArgumentException("no result code has the number " + number));
  }

  /**
   * Finds a code that another build may have sent, which may be newer.
   *
   * @param number the number
   * @return the code, or empty if this build does not define it
   */
  public static Optional<ResultCode> find(int number) {
    for (ResultCode code : values()) {
      if (code.number == number) {
        return Optional.of(code);
      }
    }
    return Optional.empty();
  }

  /** {@return the number that callers see} */
  public int number() {
    return number;
  }

  /** {@return what the code states about the request} */
  public Kind kind() {
    return kind;
  }

  /** {@return the HTTP status that callers see} */
  public int httpStatus() {
    return httpStatus;
  }

  /** {@return whether a request with this code reached a target, although it was not run} */
  public boolean reachedTarget() {
    return this == TARGET_SHED || this == TARGET_REPLACED;
  }

  /** {@return whether a retry at another target may succeed} */
  public boolean retryableOnOtherTarget() {
    return retryableOnOtherTarget;
  }
}
