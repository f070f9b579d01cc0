package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.amaranthmoor.connection.ClientLimits;
import org.amaranthmoor.connection.UnfinishedRequest;
import org.amaranthmoor.daemon.http.RefusedRequestException.Reason;
import org.amaranthmoor.model.TimeSource;

/**
 * Enforces the limits of one request while it is read, and acquires the memory that it needs.
 *
 * <p>Invariant: memory beyond {@link #FREE_LINES} short lines and {@link #FREE_BYTES} bytes, which
 * each connection may use, is acquired before it is used. Used by the thread of its connection.
 */
final class RequestReader {

  /** Number of lines of a head that need no memory of their own. */
  private static final int FREE_LINES = 40;

  /** Number of bytes of a head, and of a body, that need no memory of their own. */
  private static final int FREE_BYTES = 4 * 1024;

  /**
   * Memory of a line of a head, in bytes: the line as it is read, its name and value, and the
   * header field that is forwarded.
   */
  private static final int LINE_BYTES = 400;

  /** Memory of a byte of a head: as a character of a line, and of the values made of it. */
  private static final int BYTES_PER_HEAD_BYTE = 4;

  /**
   * Number of bytes of chunk sizes, extensions and line ends for each byte of a body, beyond the
   * limit of a head: much more than chunks of one byte need.
   */
  private static final int MAX_FRAMING_PER_BYTE = 64;

  /**
   * Number of bytes after which another thread may run: a client that sends without a pause would
   * otherwise keep the processor, as virtual threads share it only when they wait.
   */
  private static final int YIELD_BYTES = 32 * 1024;

  /** Number of bytes that are acquired at a time. */
  private static final int STEP_BYTES = 8 * 1024;

  /**
   * Memory of a body whose rest is passed on, in bytes: a buffer, and the pieces on their way to
   * the target.
   */
  private static final int UPLOAD_BYTES = 96 * 1024;

  /**
   * Number of times that memory is asked for while others are being closed or end. All attempts
   * take a second, in which uploads at an ordinary speed end; after 200 ms sound uploads were
   * refused.
   */
  private static final int MAX_ATTEMPTS = 50;

  private static final long ATTEMPT_PAUSE_MILLIS = 20;

  private final UnfinishedRequest request;
  private final ClientLimits limits;
  private final TimeSource time;
  private long headStartNanos;
  private boolean headBegun;
  private int lines;
  private int headBytes;
  private long bodyBytes;
  private long framingBytes;
  private long bytesSinceYield;
  private long needed;
  private long acquired;
  private boolean served;

  RequestReader(UnfinishedRequest request, ClientLimits limits, TimeSource time) {
    this.request = request;
    this.limits = limits;
    this.time = time;
  }

  UnfinishedRequest request() {
    return request;
  }

  /** Records that the head begins; empty lines before it don't belong to it. */
  void onHeadBegin() {
    if (!headBegun) {
      headBegun = true;
      headStartNanos = time.nanos();
    }
  }

  /** {@return whether a byte of the head has arrived, so that its time limit counts} */
  boolean isHeadBegun() {
    return headBegun;
  }

  /** {@return time left for the head, or for the wait for it, in milliseconds, at least 1} */
  long headMillisLeft() {
    long left =
        headBegun
            ? limits.enforcedHeaderNanos() - (time.nanos() - headStartNanos)
            : limits.enforcedIdleNanos();
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(left));
  }

  /** Records bytes that surround the parts of a body. */
  void onFramingBytes(int count) throws IOException {
    framingBytes += count;
    if (framingBytes > limits.maxHeaderBytes() + bodyBytes * MAX_FRAMING_PER_BYTE) {
      throw new RefusedRequestException(Reason.BODY_TOO_LARGE);
    }
    countHeadBytes(count);
    if (headBytes > FREE_BYTES && keepsBody()) {
      need((long) count * BYTES_PER_HEAD_BYTE);
    }
  }

  /** Records bytes of the head that have arrived. */
  void onHeadBytes(int count) throws IOException {
    countHeadBytes(count);
    if (headBytes > FREE_BYTES) {
      need((long) count * BYTES_PER_HEAD_BYTE);
    }
  }

  private void countHeadBytes(int count) throws IOException {
    headBytes += count;
    if (headBytes > limits.maxHeaderBytes()) {
      throw new RefusedRequestException(Reason.HEAD_TOO_LARGE);
    }
  }

  // What is read of a request that is answered already is dropped, and what is read of a served one
  // is passed on within the memory that was acquired for it.
  private boolean keepsBody() {
    return !served && !request.hasResponse();
  }

  /**
   * Records that a further line begins: of the head, a trailer, or one between two parts of a body.
   * The fields of trailers are kept until the body ends, also those of a request that is served.
   */
  void onLine() throws IOException {
    lines++;
    if (lines > FREE_LINES) {
      need(LINE_BYTES);
    }
  }

  /** Begins to count the bytes of lines anew, such as those between two parts of a body. */
  void restartLines() {
    headBytes = 0;
    lines = 0;
  }

  /** Checks the length that a request states for its body. */
  void checkLength(long length) throws IOException {
    if (length > limits.maxBodyBytes()) {
      throw new RefusedRequestException(Reason.BODY_TOO_LARGE);
    }
  }

  /** Records bytes of the body that have arrived; those of a served request are not kept. */
  void onBodyBytes(int count) throws IOException {
    onProgress(count);
    bodyBytes += count;
    checkLength(bodyBytes);
    if (keepsBody() && bodyBytes > FREE_BYTES) {
      need(count);
    }
  }

  /** Records bytes that arrived or were sent. */
  void onProgress(int count) {
    request.onProgress(count, time.nanos());
    bytesSinceYield += count;
    if (bytesSinceYield >= YIELD_BYTES) {
      bytesSinceYield = 0;
      yieldToOthers();
    }
  }

  /** Lets the threads of other connections run, which share the processor only when they wait. */
  @SuppressWarnings("ThreadPriorityCheck")
  static void yieldToOthers() {
    Thread.yield();
  }

  /** {@return whether the response has been begun, so that the rest of the request is dropped} */
  boolean hasResponse() {
    return request.hasResponse();
  }

  /**
   * Records that the response is being sent. If there is no room for a long one, those are closed
   * whose clients don't read; one that has been answered by a target is sent in any case.
   *
   * @param length length of the body in bytes, or a negative number
   */
  void onResponse(long length) {
    request.onResponse(time.nanos());
    if (length <= FREE_BYTES) {
      return;
    }
    // Without waiting, as the answer is ready.
    var unused = request.tryAcquire(length, time.nanos());
  }

  /** {@return whether the request may have been handed over, so that its body is passed on} */
  boolean isServed() {
    return served;
  }

  /**
   * Prepares to serve the request, after which it is not closed for another one.
   *
   * @param bodyComplete whether its whole body has arrived
   * @return false if there is no room for it, or it was closed
   */
  boolean tryServe(boolean bodyComplete) {
    try {
      if (!bodyComplete) {
        acquire(UPLOAD_BYTES);
      }
    } catch (RefusedRequestException e) {
      return false;
    }
    served = request.onServed(bodyComplete);
    return served;
  }

  private void need(long bytes) throws IOException {
    needed += bytes;
    if (needed <= acquired) {
      return;
    }
    long step = Math.max(STEP_BYTES, needed - acquired);
    acquire(step);
    acquired += step;
  }

  // Others may have to end first.
  private void acquire(long bytes) throws RefusedRequestException {
    for (int attempt = 1; !request.tryAcquire(bytes, time.nanos()); attempt++) {
      if (attempt >= MAX_ATTEMPTS || request.closed()) {
        throw new RefusedRequestException(Reason.NO_ROOM);
      }
      pause();
    }
  }

  private static void pause() throws RefusedRequestException {
    try {
      Thread.sleep(ATTEMPT_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RefusedRequestException(Reason.NO_ROOM);
    }
  }
}
