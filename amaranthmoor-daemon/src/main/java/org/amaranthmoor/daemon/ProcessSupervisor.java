package org.amaranthmoor.daemon;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
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

  /**
   * Number of checks in a row, ten seconds, during which no thread could be started and run, after
   * which the node has failed: no request could be served either. Checks are counted instead of the
   * time, so that a process that was suspended does not count as failed.
   */
  static final int MAX_CHECKS_WITHOUT_PROGRESS = 20;

  /** Memory that is set aside for the last lines of the process, in bytes. */
  private static final int RESERVE_BYTES = 256 * 1_024;

  /** Number of attempts to write the last line. */
  private static final int LOG_ATTEMPTS = 5;

  /** Time between two attempts, in nanoseconds. */
  private static final long ATTEMPT_INTERVAL_NANOS = 20_000_000L;

  private final EventLog log;
  private final Runnable flushLog;
  private final IntConsumer halt;
  private final Runnable recordProgress = this::recordProgress;
  private volatile boolean progress = true;
  // Used by the supervising thread.
  private int checksWithoutProgress;
  private final AtomicLong threadFailures = new AtomicLong();
  private volatile ErrorListener listener = ErrorListener.NONE;
  // Released before the last line is written, as the heap may be full.
  private final AtomicReference<byte[]> reserve = new AtomicReference<>(new byte[RESERVE_BYTES]);

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
    // Loads the class, for which a full heap has no room.
    var unused = ThreadEnd.of("");
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
      try {
        LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
        endIfFailed(failure);
        endWithoutProgress(Thread::startVirtualThread);
      } catch (RuntimeException | Error e) {
        // A failed check must not end the supervision.
        checksWithoutProgress++;
      }
    }
  }

  void endWithoutProgress(Executor executor) {
    checksWithoutProgress = progress ? 0 : checksWithoutProgress + 1;
    progress = false;
    if (checksWithoutProgress >= MAX_CHECKS_WITHOUT_PROGRESS) {
      end("no thread can be started");
    }
    try {
      executor.execute(recordProgress);
    } catch (RuntimeException | Error e) {
      listener.onError(e);
    }
  }

  private void recordProgress() {
    progress = true;
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
    reserve.set(null);
    try {
      logEnd(cause);
      flushLog.run();
    } catch (RuntimeException | Error e) {
      // The exit status shows the failure.
    }
    halt.accept(FAILED_STATUS);
  }

  private void logEnd(String cause) {
    for (int attempt = 0; attempt < LOG_ATTEMPTS; attempt++) {
      long lostLines = log.suppressedLines();
      log.warn("node-failed", () -> "cause=" + EventLog.quote(cause));
      if (log.suppressedLines() == lostLines) {
        return;
      }
      LockSupport.parkNanos(ATTEMPT_INTERVAL_NANOS);
    }
  }
}
