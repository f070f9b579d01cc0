package org.amaranthmoor.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
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
 * Writes log lines to standard output on a thread of its own.
 *
 * <p>Whoever logs never waits for the reader of the output: lines beyond what the queue holds are
 * dropped, and the number dropped is written as a line. Safe for use by several threads.
 */
public final class StandardOutput extends Handler {

  /**
   * Lines that wait to be written at most: some seconds' worth at the limits of {@link EventLog}.
   */
  private static final int QUEUED_LINES = 2_048;

  /** Time over which lines are gathered before they are written, in milliseconds. */
  private static final int GATHER_MILLIS = 100;

  private static final int FLUSH_MILLIS = 300;
  private static final int POLL_MILLIS = 10;

  private static final StandardOutput HANDLER = new StandardOutput(System.out);

  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();

  StandardOutput(PrintStream out) {
    this.out = out;
    Thread.ofPlatform().name("log-writer").daemon().start(this::writeAll);
  }

  /**
   * Returns a logger whose lines go to standard output, and sends those of libraries there too.
   *
   * @param name the logger's name
   * @return the logger
   */
  public static System.Logger logger(String name) {
    LogManager.getLogManager().reset();
    Logger.getLogger("").addHandler(HANDLER);
    return System.getLogger(name);
  }

  /** Waits a short time until the lines so far are written. */
  public static void flushLines() {
    for (int waited = 0; waited < FLUSH_MILLIS && !HANDLER.lines.isEmpty(); waited += POLL_MILLIS) {
      try {
        Thread.sleep(POLL_MILLIS);
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
            + Instant.ofEpochMilli(record.getMillis())
            + " level="
            + record.getLevel()
            + " "
            + record.getMessage()
            + (record.getThrown() == null ? "" : " at=" + place(record.getThrown()));
    if (!lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private static String place(Throwable thrown) {
    StackTraceElement[] frames = thrown.getStackTrace();
    return frames.length == 0 ? "unknown" : frames[0].toString();
  }

  private void writeAll() {
    List<String> gathered = new ArrayList<>();
    try {
      while (true) {
        gathered.add(lines.take());
        Thread.sleep(GATHER_MILLIS);
        lines.drainTo(gathered);
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
          gathered.add(
              "time=" + Instant.now() + " level=WARNING event=log-lines-dropped count=" + lost);
        }
        byte[] bytes = (String.join("\n", gathered) + "\n").getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
        gathered.clear();
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
