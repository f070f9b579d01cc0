package org.amaranthmoor.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines to standard output on its own thread.
 *
 * <p>Logging never blocks on a slow reader of the output: when the queue is full, lines are
 * dropped, and their number is written as a line. Safe for use by several threads.
 */
public final class StandardOutputHandler extends Handler {

  /**
   * Maximum number of lines waiting to be written: some seconds' worth at the limits of {@link
   * EventLog}.
   */
  private static final int MAX_QUEUED_LINES = 2_048;

  /** Time for which lines are collected before they are written in one batch. */
  private static final int BATCH_DELAY_MILLIS = 100;

  private static final int FLUSH_TIMEOUT_MILLIS = 300;
  private static final int POLL_INTERVAL_MILLIS = 10;

  private static final StandardOutputHandler INSTANCE = new StandardOutputHandler(System.out);

  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();

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

  /** Waits a short time until the writer has taken the queued lines. */
  public static void awaitWritten() {
    for (int waited = 0;
        waited < FLUSH_TIMEOUT_MILLIS && !INSTANCE.lines.isEmpty();
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
    String line =
        "time="
            + UtcTimestamp.format(record.getMillis())
            + " level="
            + record.getLevel()
            + " "
            + record.getMessage()
            + (record.getThrown() == null ? "" : " at=" + location(record.getThrown()));
    if (!lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private static String location(Throwable thrown) {
    StackTraceElement[] frames = thrown.getStackTrace();
    return frames.length == 0 ? "unknown" : frames[0].toString();
  }

  private void writeAll() {
    List<String> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(lines.take());
        Thread.sleep(BATCH_DELAY_MILLIS);
        lines.drainTo(batch);
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
          batch.add(
              "time="
                  + UtcTimestamp.format(System.currentTimeMillis())
                  + " level=WARNING event=log-lines-dropped count="
                  + droppedLines);
        }
        byte[] bytes = (String.join("\n", batch) + "\n").getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
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
