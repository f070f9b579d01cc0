package org.amaranthmoor.daemon.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class StandardOutputHandlerTests {

  private static final int LINES_BEYOND_QUEUE = 5_000;

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
}
