package org.amaranthmoor.daemon.exchange;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Holds a sender back until the receiver has room.
 *
 * <p>Invariant: bytes taken never exceed the first window plus the credit granted. Safe for use by
 * several threads.
 */
public final class SendWindow {

  /** Bytes that may be sent before any credit. */
  public static final int INITIAL_BYTES = 128 * 1024;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private long credit = INITIAL_BYTES;
  private boolean closed;

  /** Creates a gate with the first window open. */
  public SendWindow() {}

  /**
   * Takes credit, waiting until there is some.
   *
   * @param bytes bytes to send
   * @return false if the gate was closed
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean acquire(int bytes) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      while (credit < bytes && !closed) {
        changed.await();
      }
      credit -= bytes;
      return !closed;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Grants credit.
   *
   * @param bytes bytes that may be sent in addition
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

  /** Lets every waiting sender go. */
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
