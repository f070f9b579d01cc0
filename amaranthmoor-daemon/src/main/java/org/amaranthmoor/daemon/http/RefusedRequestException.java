package org.amaranthmoor.daemon.http;

import java.io.IOException;

/**
 * A request that exceeds a limit, or for which there is no room.
 *
 * <p>As long as the request has not been handed over, its client gets the status of {@link
 * #reason}; afterwards this is a failure of the client's connection like any other. Immutable and
 * safe for use by several threads.
 */
final class RefusedRequestException extends IOException {

  private static final long serialVersionUID = 1;

  /** Why a request is refused. */
  enum Reason {
    /** The head, or the trailers, exceed their limit. */
    HEAD_TOO_LARGE(431, "head-too-large"),
    /** The body exceeds its limit. */
    BODY_TOO_LARGE(413, "body-too-large"),
    /** The request did not arrive in time. */
    TOO_SLOW(408, "too-slow"),
    /** The request was given up for another one, or there is no room for it. */
    NO_ROOM(503, "no-room");

    private final int status;
    private final String label;

    Reason(int status, String label) {
      this.status = status;
      this.label = label;
    }

    /** {@return the HTTP status of the refusal} */
    int status() {
      return status;
    }

    /** {@return the name of the reason in events and metrics} */
    String label() {
      return label;
    }
  }

  private final Reason reason;

  /** Creates the failure of a request, whose stack trace is of no use. */
  RefusedRequestException(Reason reason) {
    super("the request was refused: " + reason.label());
    this.reason = reason;
  }

  /** {@return why the request was refused} */
  Reason reason() {
    return reason;
  }

  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
