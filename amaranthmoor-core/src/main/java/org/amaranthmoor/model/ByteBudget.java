package org.amaranthmoor.model;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that many holders use together.
 *
 * <p>Invariant: the bytes that are acquired and not yet released never exceed the capacity. Safe
 * for use by several threads; lock-free.
 */
public final class ByteBudget {

  private final long capacity;
  private final AtomicLong used = new AtomicLong();

  /**
   * Creates a budget of which nothing is used.
   *
   * @param capacity the number of bytes that may be held at the same time
   */
  public ByteBudget(long capacity) {
    this.capacity = capacity;
  }

  /**
   * Acquires bytes if there is room for all of them.
   *
   * @param bytes the number of bytes
   * @return whether they were acquired, so that they must be released
   */
  public boolean tryAcquire(long bytes) {
    while (true) {
      long before = used.get();
      if (bytes > capacity - before) {
        return false;
      }
      if (used.compareAndSet(before, before + bytes)) {
        return true;
      }
    }
  }

  /**
   * Releases bytes that were acquired.
   *
   * @param bytes the number of bytes
   */
  public void release(long bytes) {
    used.addAndGet(-bytes);
  }

  /** {@return the number of bytes that are held} */
  public long used() {
    return used.get();
  }

  /** {@return the number of bytes that may be held} */
  public long capacity() {
    return capacity;
  }

  /** {@return whether the rest is needed for what has begun, so that nothing new may begin} */
  public boolean isNearlyUsed() {
    return used.get() > capacity - capacity / 4;
  }
}
