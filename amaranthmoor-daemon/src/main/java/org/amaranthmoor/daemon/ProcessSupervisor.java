package org.amaranthmoor.daemon;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.log.ErrorListener;
import org.amaranthmoor.daemon.log.EventLog;

/**
 * Records failures that no code has handled, and ends the process if its node cannot serve any
 * more.
 *
 * <p>Invariants: recording a failure never throws, also on a full heap, and ending the process
 * takes a bounded time. Safe for use by several threads.
 */
public final class ProcessSupervisor implements Thread.UncaughtExceptionHandler {

  /** Exit status of a process whose node failed. */
  public static final int FAILED_STATUS = 1;

  /** Interval at which the node is checked, in nanoseconds. */
  private static final long CHECK_INTERVAL_NANOS = 500_000_000L;

  private final EventLog log;
  private final Runnable flushLog;
  private final IntConsumer halt;
  private final AtomicLong threadFailures = new AtomicLong();
  private volatile ErrorListener listener = ErrorListener.NONE;

  /**
   * Creates a supervisor.
   *
   * @param log receives a line for each failure
   * @param flushLog waits a bounded time until the lines have been written
   * @param halt ends the process with a status; does not return
   */
  public ProcessSupervisor(EventLog log, Runnable flushLog, IntConsumer halt) {
    this.log = log;
    this.flushLog = flushLog;
    this.halt = halt;
  }

  /**
   * Sets who receives the failures.
   *
   * @param newListener the listener
   */
  public void setListener(ErrorListener newListener) {
    listener = newListener;
  }

  /** {@return the number of threads that a failure has ended} */
  public long threadFailures() {
    return threadFailures.get();
  }

  @Override
  public void uncaughtException(Thread thread, Throwable failure) {
    threadFailures.incrementAndGet();
    try {
      listener.onError(failure);
      logFailure(thread.getName(), failure);
    } catch (RuntimeException | Error e) {
      // The line is lost; the failure has been counted.
    }
    if (ThreadEnd.of(thread.getName()) == ThreadEnd.NODE_FAILED) {
      end(thread.getName());
    }
  }

  private void logFailure(String thread, Throwable failure) {
    log.warn(
        "thread-failed",
        () -> "thread=" + EventLog.quote(thread) + " error=" + EventLog.quote(failure.toString()));
  }

  /**
   * Checks a node at intervals, and ends the process if it has failed. Does not return normally.
   *
   * @param failure returns why the node cannot serve any more, or empty
   */
  public void supervise(Supplier<Optional<String>> failure) {
    while (true) {
      LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
      endIfFailed(failure);
    }
  }

  void endIfFailed(Supplier<Optional<String>> failure) {
    try {
      failure.get().ifPresent(this::end);
    } catch (RuntimeException | Error e) {
      // The next check may find memory.
      listener.onError(e);
    }
  }

  /**
   * Ends the process.
   *
   * @param cause what the node cannot serve without
   */
  public void end(String cause) {
    try {
      log.warn("node-failed", () -> "cause=" + EventLog.quote(cause));
      flushLog.run();
    } catch (RuntimeException | Error e) {
      // The exit status shows the failure.
    }
    halt.accept(FAILED_STATUS);
  }
}
