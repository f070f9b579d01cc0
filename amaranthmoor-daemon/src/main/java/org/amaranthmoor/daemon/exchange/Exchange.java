package org.amaranthmoor.daemon.exchange;

import java.util.Optional;
import org.amaranthmoor.model.Outcome;

/**
 * One attempt at a call, in progress.
 *
 * <p>Used by one thread; ends with an outcome or by {@link #cancel}.
 */
public interface Exchange {

  /** Largest number of bytes that {@link #send} accepts without blocking if there is room. */
  int MAX_SEND_BYTES = 32 * 1024;

  /**
   * Waits for the outcome.
   *
   * @param nanos maximum time to wait, in nanoseconds
   * @return the outcome, or empty if there is none within that time
   * @throws InterruptedException if the thread is interrupted
   */
  Optional<Outcome<CallResponse>> await(long nanos) throws InterruptedException;

  /**
   * Runs a listener once there is an outcome, at once if there is one already.
   *
   * @param listener must not block; runs on any thread
   */
  void onOutcome(Runnable listener);

  /**
   * Waits until the receiver has room for more of the request's body.
   *
   * @param nanos maximum time to wait, in nanoseconds
   * @return whether {@link #send} does not block; true as well once the exchange has ended
   * @throws InterruptedException if the thread is interrupted
   */
  boolean awaitRoom(long nanos) throws InterruptedException;

  /**
   * Sends more of the request's body, blocking while the receiver has no room.
   *
   * @param bytes the bytes; must not be modified afterwards
   * @param last whether the body ends with these bytes
   * @return false if the exchange has ended and accepts no more bytes
   * @throws InterruptedException if the thread is interrupted
   */
  boolean send(byte[] bytes, boolean last) throws InterruptedException;

  /**
   * Gives the request up, and leaves the exchange open for the outcome. A request that was not
   * handed over to the target yet is fenced and ends as {@link Outcome.NotRun}, any other is
   * aborted.
   */
  void withdraw();

  /**
   * Fences a request whose link was lost, unless it was handed over to the target. Used only after
   * the exchange has ended without an answer.
   *
   * @param nanos maximum time to wait, in nanoseconds
   * @return whether the request is known never to run; false if that is not known in time
   * @throws InterruptedException if the thread is interrupted
   */
  boolean fence(long nanos) throws InterruptedException;

  /** Cancels the exchange; a request that was not handed over to the target yet is not run. */
  void cancel();
}
