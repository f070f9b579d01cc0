package org.amaranthmoor.model;

/**
 * Numbered results of a call, listed in docs/RESULT-CODES.md.
 *
 * <p>Numbers never change meaning: 1xx not run, 2xx unknown, 3xx answered by this system instead of
 * the target, 4xx not run because the request itself is wrong. Immutable and safe for use by
 * several threads.
 */
public enum ResultCode {
  /** The target side's queue is full or cannot start the request before its deadline. */
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
  /** The caller went away before the request was handed to a target. */
  CANCELLED(107, Kind.NOT_RUN, 503, false),
  /** The node was addressed as an incarnation that it is not. */
  WRONG_INCARNATION(108, Kind.NOT_RUN, 503, true),
  /** The entry side fenced the request after it lost the connection. */
  FENCED(109, Kind.NOT_RUN, 503, true),
  /** The target side is not the home of the request's idempotency key, or cannot vouch for it. */
  NOT_HOME(110, Kind.NOT_RUN, 503, true),
  /** The target side remembers as many idempotency keys as it may. */
  KEY_LEDGER_FULL(111, Kind.NOT_RUN, 503, false),
  /** The target refused the request by its own contract, without running it. */
  TARGET_SHED(112, Kind.NOT_RUN, 503, true),
  /** The node has no configuration yet, or is stopping. */
  NOT_READY(113, Kind.NOT_RUN, 503, false),
  /** Another target answers at the address of the one that was meant. */
  TARGET_REPLACED(114, Kind.NOT_RUN, 503, true),
  /** The target fails most requests and is tried only now and then. */
  TARGET_FAILING(115, Kind.NOT_RUN, 503, true),
  /** The target side could answer in time, but not as soon as the entry side asked for. */
  TOO_LATE_HERE(116, Kind.NOT_RUN, 503, true),
  /** The target side knows no target that takes requests. */
  TARGET_ABSENT(117, Kind.NOT_RUN, 503, true),
  /** The node that was asked has too little processor time for the call. */
  NODE_BUSY(118, Kind.NOT_RUN, 503, false),
  /** The target states a rate of requests that leaves none for this one in time. */
  TARGET_LIMITED(119, Kind.NOT_RUN, 503, true),
  /** The connection to the target side was lost after the request may have been handed over. */
  LINK_LOST(201, Kind.UNKNOWN, 502, true),
  /** The deadline passed after the request may have been handed over. */
  DEADLINE_AFTER_START(202, Kind.UNKNOWN, 504, false),
  /** The target closed the connection or broke the protocol before its answer was complete. */
  TARGET_BROKE_OFF(203, Kind.UNKNOWN, 502, true),
  /** An earlier request with this idempotency key is still running. */
  KEY_IN_PROGRESS(204, Kind.UNKNOWN, 409, false),
  /** An earlier request with this key may have run at a target that is gone. */
  KEY_OUTCOME_LOST(205, Kind.UNKNOWN, 409, false),
  /** The key was made longer ago than keys are remembered. */
  KEY_TOO_OLD(206, Kind.UNKNOWN, 409, false),
  /** An earlier request with this key ran, and its outcome is not known. */
  KEY_RAN_UNKNOWN(207, Kind.UNKNOWN, 409, false),
  /** The target sent an answer that belongs to another request. */
  ANSWER_FOREIGN(208, Kind.UNKNOWN, 502, true),
  /** An earlier request with this key was answered; the answer is no longer kept. */
  KEY_ALREADY_ANSWERED(301, Kind.ANSWERED, 409, false),
  /** No rule matches the request's path and host. */
  NO_RULE(401, Kind.INVALID, 404, false),
  /** A header of the request has a value outside its format. */
  BAD_HEADER(402, Kind.INVALID, 400, false);

  /** What a code says about the request. */
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
    for (ResultCode code : values()) {
      if (code.number == number) {
        return code;
      }
    }
    throw new IllegalArgumentException("no result code has the number " + number);
  }

  /** {@return the number that callers see} */
  public int number() {
    return number;
  }

  /** {@return what the code says about the request} */
  public Kind kind() {
    return kind;
  }

  /** {@return the HTTP status that callers see} */
  public int httpStatus() {
    return httpStatus;
  }

  /** {@return whether a request that was not run has arrived at a target all the same} */
  public boolean reachedTarget() {
    return this == TARGET_SHED || this == TARGET_REPLACED;
  }

  /** {@return whether another target may do better} */
  public boolean retryableOnOtherTarget() {
    return retryableOnOtherTarget;
  }
}
