package org.amaranthmoor.daemon.exchange;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Flow control window of one body: blocks the sender until the receiver has room.
 *
 * <p>Invariant: the bytes acquired before the window is closed never exceed {@link #INITIAL_BYTES}
 * plus the credit granted; nobody waits past the deadline. Safe for use by several threads.
 */
public final class SendWindow {

  /** Bytes that may be sent before the receiver grants credit. */
  public static final int INITIAL_BYTES = 128 * 1024;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Deadline deadline;
  private long credit = INITIAL_BYTES;
  private boolean closed;

  /**
   * Creates a window of {@link #INITIAL_BYTES}.
   *
   * @param deadline the end of each wait for credit
   */
  public SendWindow(Deadline deadline) {
    this.deadline = deadline;
  }

  /**
   * Acquires credit, blocking until there is enough.
   *
   * @param bytes number of bytes to send
   * @return false if the window was closed, or had not enough credit at the deadline
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean acquire(int bytes) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      while (credit < bytes && !closed) {
        if (deadline.hasPassed()) {
          return false;
        }
        var unused = changed.awaitNanos(deadline.remainingNanos());
      }
      credit -= bytes;
      return !closed;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until {@link #acquire} does not block.
   *
   * @param bytes number of bytes to send
   * @param nanos maximum time to wait, in nanoseconds
   * @return whether there is enough credit, or the window was closed
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean awaitCredit(int bytes, long nanos) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      long leftNanos = nanos;
      while (credit < bytes && !closed && leftNanos > 0) {
        leftNanos = changed.awaitNanos(leftNanos);
      }
      return closed || credit >= bytes;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Grants credit.
   *
   * @param bytes number of additional bytes that may be sent
   */
  public void grant(int bytes) {
    lock.lock();
    try {
      credit += bytes;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Closes the window and unblocks every waiting sender. */
  public void close() {
    lock.lock();
    try {
      closed = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }
}
