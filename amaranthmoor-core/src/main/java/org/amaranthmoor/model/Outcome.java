package org.amaranthmoor.model;

/**
 * What became of a request or of one attempt at it.
 *
 * <p>Immutable if the response is, and then safe for use by several threads.
 *
 * @param <R> the type of the response
 */
public sealed interface Outcome<R> {

  /**
   * The target answered.
   *
   * @param response the answer
   * @param <R> the type of the response
   */
  record Answered<R>(R response) implements Outcome<R> {}

  /**
   * The request was not handed to the target and never will be; any request may be retried.
   *
   * @param code why
   * @param retryAfterMillis when to come back, in milliseconds; 0 if there is no advice
   * @param detail one line for people
   * @param <R> the type of the response
   */
  record NotRun<R>(ResultCode code, long retryAfterMillis, String detail) implements Outcome<R> {
    /**
     * Checks the code.
     *
     * @throws IllegalArgumentException if the code does not say that the request was not run
     */
    public NotRun {
      if (code.kind() != ResultCode.Kind.NOT_RUN && code.kind() != ResultCode.Kind.INVALID) {
        throw new IllegalArgumentException("code must mean not run, but was: " + code);
      }
    }
  }

  /**
   * The request was handed over, or nobody can say; only an idempotent request may be retried.
   *
   * @param code why
   * @param detail one line for people
   * @param <R> the type of the response
   */
  record Unknown<R>(ResultCode code, String detail) implements Outcome<R> {
    /**
     * Checks the code.
     *
     * @throws IllegalArgumentException if the code does not say that the outcome is unknown
     */
    public Unknown {
      if (code.kind() != ResultCode.Kind.UNKNOWN) {
        throw new IllegalArgumentException("code must mean unknown, but was: " + code);
      }
    }
  }
}
