package org.amaranthmoor.daemon.exchange;

import java.util.Optional;
import org.amaranthmoor.model.Outcome;

/**
 * One attempt at a call, under way.
 *
 * <p>Used by one thread; it ends by an outcome or by {@link #cancel}.
 */
public interface Exchange {

  /**
   * Waits for the outcome.
   *
   * @param nanos longest time to wait, in nanoseconds
   * @return the outcome, or empty if there is none yet
   * @throws InterruptedException if the thread is interrupted
   */
  Optional<Outcome<CallResponse>> await(long nanos) throws InterruptedException;

  /**
   * Sends more of the request's body, waiting while the receiver has no room.
   *
   * @param bytes the bytes; not to be changed afterwards
   * @param last whether the body ends with them
   * @return false if the exchange has ended and takes no more
   * @throws InterruptedException if the thread is interrupted
   */
  boolean send(byte[] bytes, boolean last) throws InterruptedException;

  /** Gives the exchange up; the request is not run if it was not handed over yet. */
  void cancel();
}
