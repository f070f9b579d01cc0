package org.amaranthmoor.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines to standard output on its own thread.
 *
 * <p>Logging never blocks on a slow reader of the output: when the queue is full, lines are
 * dropped, and their number is written as a line. A line for which there is no memory counts as
 * dropped too. Invariant: no failure ends the writer, and none reaches the code that logs. Safe for
 * use by several threads.
 */
public final class StandardOutputHandler extends Handler {

  /**
   * Maximum number of lines waiting to be written: some seconds' worth at the limits of {@link
   * EventLog}.
   */
  private static final int MAX_QUEUED_LINES = 2_048;

  /** Time for which lines are collected before they are written in one batch. */
  private static final int BATCH_DELAY_MILLIS = 100;

  /** Pause after a failure, in nanoseconds. */
  private static final long PAUSE_NANOS = 1_000_000;

  private static final int FLUSH_TIMEOUT_MILLIS = 300;
  private static final int POLL_INTERVAL_MILLIS = 10;

  private static final StandardOutputHandler INSTANCE = new StandardOutputHandler(System.out);

  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  // Lines that were queued and have been neither written nor dropped.
  private final AtomicLong pending = new AtomicLong();

  StandardOutputHandler(PrintStream out) {
    this.out = out;
    Thread.ofPlatform().name("log-writer").daemon().start(this::writeAll);
  }

  /**
   * Returns a logger that writes to standard output. Replaces all log handlers of the process, so
   * that libraries write there too.
   *
   * @param name the logger's name
   * @return the logger
   */
  public static System.Logger logger(String name) {
    LogManager.getLogManager().reset();
    Logger.getLogger("").addHandler(INSTANCE);
    return System.getLogger(name);
  }

  /** Waits a short time until the queued lines have been written. */
  public static void awaitWritten() {
    INSTANCE.awaitPending();
  }

  void awaitPending() {
    for (int waited = 0;
        waited < FLUSH_TIMEOUT_MILLIS && pending.get() > 0;
        waited += POLL_INTERVAL_MILLIS) {
      try {
        Thread.sleep(POLL_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  @Override
  public void publish(LogRecord record) {
    pending.incrementAndGet();
    boolean queued = false;
    try {
      queued = lines.offer(format(record));
    } catch (RuntimeException | Error e) {
      // The line is counted as dropped: no code that logs expects a failure.
    }
    if (!queued) {
      pending.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  private static String format(LogRecord record) {
    return "time="
        + UtcTimestamp.format(record.getMillis())
        + " level="
        + record.getLevel()
        + " "
        + record.getMessage()
        + (record.getThrown() == null ? "" : " at=" + location(record.getThrown()));
  }

  private static String location(Throwable thrown) {
    StackTraceElement[] frames = thrown.getStackTrace();
    return frames.length == 0 ? "unknown" : frames[0].toString();
  }

  private void writeAll() {
    while (true) {
      try {
        writeBatch();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException | Error e) {
        // Each line that was taken has been counted as dropped; the next ones may find memory.
        LockSupport.parkNanos(PAUSE_NANOS);
      }
    }
  }

  // Line by line, as a full heap may have no room for all lines in one piece.
  private void writeBatch() throws InterruptedException {
    String line = lines.take();
    int taken = 1;
    int written = 0;
    try {
      Thread.sleep(BATCH_DELAY_MILLIS);
      while (line != null) {
        writeLine(line);
        written++;
        line = taken < MAX_QUEUED_LINES ? lines.poll() : null;
        taken += line == null ? 0 : 1;
      }
      reportDropped();
      out.flush();
    } finally {
      dropped.addAndGet(taken - written);
      pending.addAndGet(-taken);
    }
  }

  private void reportDropped() {
    long droppedLines = dropped.get();
    if (droppedLines > 0) {
      writeLine(
          "time="
              + UtcTimestamp.format(System.currentTimeMillis())
              + " level=WARNING event=log-lines-dropped count="
              + droppedLines);
      dropped.addAndGet(-droppedLines);
    }
  }

  private void writeLine(String line) {
    byte[] bytes = (line + '\n').getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }
}
