package org.amaranthmoor.daemon.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntConsumer;
import org.amaranthmoor.model.ByteBudget;

/**
 * Transfers a message body from the thread that receives it to the thread that reads it.
 *
 * <p>Supports flow control: {@code onRead} receives the number of bytes read, for which the sender
 * can be granted new credit. Invariant: the reader sees every byte in order followed by the end of
 * the stream, or an {@link IOException}; a truncated body is never reported as complete; neither
 * side waits past the deadline; bytes that are neither read nor discarded are held in the budget.
 * Safe for one writer and one reader.
 */
public final class BodyPipe extends InputStream {

  /** Largest chunk that is made of smaller ones, in bytes. */
  private static final int MAX_JOINED_BYTES = 1_024;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Deque<byte[]> chunks = new ArrayDeque<>();
  private final int capacityBytes;
  private final Deadline deadline;
  private final ByteBudget budget;
  private final IntConsumer onRead;
  private int position;
  private int bufferedBytes;
  private boolean finished;
  private boolean closed;
  private boolean failed;
  private String failure = "";

  /**
   * Creates an empty pipe.
   *
   * @param capacityBytes number of buffered bytes from which {@link #write} blocks
   * @param deadline the end of each wait of the writer and of the reader
   * @param onRead receives the number of bytes of each read; called outside the lock
   */
  public BodyPipe(int capacityBytes, Deadline deadline, IntConsumer onRead) {
    this(capacityBytes, deadline, new ByteBudget(Long.MAX_VALUE), onRead);
  }

  /**
   * Creates an empty pipe that shares the memory for its bytes with others.
   *
   * @param capacityBytes number of buffered bytes from which {@link #write} blocks
   * @param deadline the end of each wait of the writer and of the reader
   * @param budget bytes are taken from it until they are read or discarded; a body that finds no
   *     room fails
   * @param onRead receives the number of bytes of each read; called outside the lock
   */
  public BodyPipe(int capacityBytes, Deadline deadline, ByteBudget budget, IntConsumer onRead) {
    this.capacityBytes = capacityBytes;
    this.deadline = deadline;
    this.budget = budget;
    this.onRead = onRead;
  }

  /**
   * Adds bytes without blocking; for writers that are limited by credit.
   *
   * @param bytes the bytes; must not be modified afterwards
   */
  public void offer(byte[] bytes) {
    lock.lock();
    try {
      add(bytes);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Adds bytes, blocking while the pipe is full.
   *
   * @param bytes the bytes; must not be modified afterwards
   * @return false if the reader has closed the pipe, the pipe has failed, or it is still full at
   *     the deadline
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean write(byte[] bytes) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      while (isFull()) {
        if (deadline.hasPassed()) {
          return false;
        }
        var unused = changed.awaitNanos(deadline.remainingNanos());
      }
      if (closed || failed) {
        return false;
      }
      add(bytes);
      return !failed;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until {@link #write} does not block.
   *
   * @param nanos maximum time to wait, in nanoseconds
   * @return whether there is room, or the pipe has been closed or has failed
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean awaitRoom(long nanos) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      long leftNanos = nanos;
      while (isFull() && leftNanos > 0) {
        leftNanos = changed.awaitNanos(leftNanos);
      }
      return !isFull();
    } finally {
      lock.unlock();
    }
  }

  private boolean isFull() {
    return bufferedBytes >= capacityBytes && !closed && !failed;
  }

  private void add(byte[] bytes) {
    if (bytes.length == 0 || closed || failed) {
      return;
    }
    if (budget.tryAcquire(bytes.length)) {
      bufferedBytes += bytes.length;
      append(bytes);
    } else {
      failWith("the node has no room for more of the body");
    }
    changed.signalAll();
  }

  // Small chunks are joined, because each costs more than its bytes.
  private void append(byte[] bytes) {
    byte[] last = chunks.peekLast();
    if (last == null || last.length + bytes.length > MAX_JOINED_BYTES) {
      chunks.addLast(bytes);
      return;
    }
    byte[] joined = Arrays.copyOf(last, last.length + bytes.length);
    System.arraycopy(bytes, 0, joined, last.length, bytes.length);
    chunks.removeLast();
    chunks.addLast(joined);
  }

  private void failWith(String reason) {
    failed = true;
    failure = reason;
    discard();
  }

  private void discard() {
    budget.release(bufferedBytes);
    bufferedBytes = 0;
    position = 0;
    chunks.clear();
  }

  /** Marks the end of the body, unless it has failed. */
  public void finish() {
    lock.lock();
    try {
      finished = !failed;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Ends the body with an error, unless {@link #finish} was called before. Discards what has not
   * been read.
   *
   * @param reason message of the {@link IOException} that the reader gets
   */
  public void fail(String reason) {
    lock.lock();
    try {
      if (!finished) {
        failWith(reason);
        changed.signalAll();
      }
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    int count = read(one, 0, 1);
    return count < 0 ? -1 : one[0] & 0xFF;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) throws IOException {
    if (length == 0) {
      return 0;
    }
    int count = readChunk(buffer, offset, length);
    if (count > 0) {
      onRead.accept(count);
    }
    return count;
  }

  private int readChunk(byte[] buffer, int offset, int length) throws IOException {
    lock.lock();
    try {
      awaitData();
      if (chunks.isEmpty()) {
        return -1;
      }
      byte[] first = chunks.getFirst();
      int count = Math.min(length, first.length - position);
      System.arraycopy(first, position, buffer, offset, count);
      position += count;
      bufferedBytes -= count;
      budget.release(count);
      if (position == first.length) {
        chunks.removeFirst();
        position = 0;
      }
      changed.signalAll();
      return count;
    } finally {
      lock.unlock();
    }
  }

  private void awaitData() throws IOException {
    while (chunks.isEmpty() && !finished) {
      if (failed) {
        throw new IOException(failure);
      }
      if (closed) {
        throw new IOException("cannot read the body because it was closed");
      }
      if (deadline.hasPassed()) {
        throw new SocketTimeoutException("the rest of the body did not arrive before the deadline");
      }
      try {
        var unused = changed.awaitNanos(deadline.remainingNanos());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new InterruptedIOException("interrupted while waiting for more of the body");
      }
    }
  }

  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      discard();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }
}
