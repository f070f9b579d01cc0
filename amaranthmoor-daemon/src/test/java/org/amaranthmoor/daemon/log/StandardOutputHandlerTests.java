package org.amaranthmoor.daemon.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class StandardOutputHandlerTests {

  private static final int LINES_BEYOND_QUEUE = 5_000;
  private static final int FAILED_WRITES = 1;

  /** An output that blocks every write until it is released. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final CountDownLatch dropReported = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int value) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      synchronized (written) {
        written.write(bytes, offset, length);
        if (written.toString(StandardCharsets.UTF_8).contains("event=log-lines-dropped")) {
          dropReported.countDown();
        }
      }
    }
  }

  @Test
  void blockedReaderDoesNotBlockLoggingAndDroppedLinesAreCounted() throws InterruptedException {
    BlockedOutput blocked = new BlockedOutput();
    StandardOutputHandler output =
        new StandardOutputHandler(new PrintStream(blocked, false, StandardCharsets.UTF_8));

    // Would block forever if publishing waited for the output.
    for (int i = 0; i < LINES_BEYOND_QUEUE; i++) {
      output.publish(new LogRecord(Level.INFO, "event=test number=" + i));
    }
    blocked.released.countDown();
    blocked.dropReported.await();

    assertTrue(blocked.written.toString(StandardCharsets.UTF_8).contains("event=test number=0"));
  }

  /** An output whose first writes fail, as on a full heap. */
  private static final class FailingOutput extends OutputStream {
    private final CountDownLatch dropReported = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private int failuresLeft = FAILED_WRITES;

    @Override
    public void write(int value) {
      throw new UnsupportedOperationException();
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
      if (failuresLeft > 0) {
        failuresLeft--;
        throw new OutOfMemoryError("of the output");
      }
      written.write(bytes, offset, length);
      if (written.toString(StandardCharsets.UTF_8).contains("event=log-lines-dropped")) {
        dropReported.countDown();
      }
    }

    synchronized String text() {
      return written.toString(StandardCharsets.UTF_8);
    }
  }

  // A full heap ended the writer, and all later lines of the node were lost.
  @Test
  void anErrorWhileALineIsWrittenDoesNotEndTheWriter() throws InterruptedException {
    FailingOutput failing = new FailingOutput();
    StandardOutputHandler output =
        new StandardOutputHandler(new PrintStream(failing, false, StandardCharsets.UTF_8));
    output.publish(new LogRecord(Level.INFO, "event=lost"));
    output.awaitPending();

    output.publish(new LogRecord(Level.INFO, "event=later"));

    assertTrue(failing.dropReported.await(10, TimeUnit.SECONDS));
    assertTrue(failing.text().contains("event=later"), failing::text);
    assertTrue(failing.text().contains("event=log-lines-dropped count=1"), failing::text);
  }

  // The code that logs may hold what others wait for, and releases it only afterwards.
  @Test
  void aLineThatCannotBeCreatedIsCountedAndDoesNotThrow() throws InterruptedException {
    FailingOutput working = new FailingOutput();
    working.failuresLeft = 0;
    StandardOutputHandler output =
        new StandardOutputHandler(new PrintStream(working, false, StandardCharsets.UTF_8));
    LogRecord unformattable =
        new LogRecord(Level.INFO, "event=unformattable") {
          private static final long serialVersionUID = 1L;

          @Override
          public String getMessage() {
            throw new OutOfMemoryError("of the line");
          }
        };

    output.publish(unformattable);
    output.publish(new LogRecord(Level.INFO, "event=later"));

    assertTrue(working.dropReported.await(10, TimeUnit.SECONDS));
    assertTrue(working.text().contains("event=log-lines-dropped count=1"), working::text);
  }

  // The last line of a process, which states why it ends, was taken by the writer and not written.
  @Test
  void awaitingTheLinesWaitsForTheLineThatTheWriterHasTaken() {
    FailingOutput working = new FailingOutput();
    working.failuresLeft = 0;
    StandardOutputHandler output =
        new StandardOutputHandler(new PrintStream(working, false, StandardCharsets.UTF_8));

    output.publish(new LogRecord(Level.INFO, "event=last"));
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
    output.awaitPending();

    assertTrue(working.text().contains("event=last"), working::text);
  }
}
