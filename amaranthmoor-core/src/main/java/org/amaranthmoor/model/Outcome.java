package org.amaranthmoor.model;

/**
 * Outcome of a request, or of one attempt of it.
 *
 * <p>Immutable and safe for use by several threads if the response is.
 *
 * @param <R> the type of the response
 */
public sealed interface Outcome<R> {

  /**
   * The target answered.
   *
   * @param response the response of the target
   * @param <R> the type of the response
   */
  record Answered<R>(R response) implements Outcome<R> {}

  /**
   * The request was not run and never will be, so that any request may be retried.
   *
   * @param code the reason
   * @param retryAfterMillis advised delay of a retry, in milliseconds; 0 if there is no advice
   * @param detail human-readable detail, one line
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
        throw new IllegalArgumentException(
            "code of a request that was not run must be of kind NOT_RUN or INVALID, but was: "
                + code);
      }
    }
  }

  /**
   * The request was or may have been handed to the target, and its result is not known; only an
   * idempotent request may be retried.
   *
   * @param code the reason
   * @param detail human-readable detail, one line
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
        throw new IllegalArgumentException(
            "code of an unknown outcome must be of kind UNKNOWN, but was: " + code);
      }
    }
  }
}
