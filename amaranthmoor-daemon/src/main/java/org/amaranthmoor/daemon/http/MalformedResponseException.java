package org.amaranthmoor.daemon.http;

import java.io.IOException;

/** Thrown if a response is not valid HTTP, so that it cannot be told where its body ends. */
public final class MalformedResponseException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedResponseException(String message) {
    super(message);
  }
}
