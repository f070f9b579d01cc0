package org.amaranthmoor.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.model.TimeSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a wait for a body that has no end, and so holds a slot or a window for good. */
class BodyDeadlineTests {

  private static final TimeSource TIME = TimeSource.system();
  private static final byte[] BYTES = new byte[10];

  private static Deadline passed() {
    return new Deadline(TIME.nanos(), TIME);
  }

  private static Deadline soon() {
    return new Deadline(TIME.nanos() + 20_000_000L, TIME);
  }

  @Nested
  class Pipe {

    @Test
    void aReaderWithoutDataFailsAtTheDeadline() {
      BodyPipe pipe = new BodyPipe(100, soon(), bytes -> {});

      assertThrows(IOException.class, pipe::read);
    }

    @Test
    void whatHasArrivedIsReadAfterTheDeadlineToo() throws IOException {
      BodyPipe pipe = new BodyPipe(100, passed(), bytes -> {});
      pipe.offer(BYTES);
      pipe.finish();

      assertEquals(BYTES.length, pipe.readAllBytes().length);
    }

    @Test
    void aWriterWithoutRoomGivesUpAtTheDeadline() throws InterruptedException {
      BodyPipe pipe = new BodyPipe(BYTES.length, soon(), bytes -> {});

      assertTrue(pipe.write(BYTES));
      assertFalse(pipe.write(BYTES));
    }
  }

  @Nested
  class Window {

    @Test
    void aSenderWithoutCreditGivesUpAtTheDeadline() throws InterruptedException {
      SendWindow window = new SendWindow(soon());

      assertTrue(window.acquire(SendWindow.INITIAL_BYTES));
      assertFalse(window.acquire(1));
    }
  }

  @Nested
  class Watch {

    private final AtomicInteger aborted = new AtomicInteger();
    private final DeadlineWatch watch = new DeadlineWatch(Runnable::run);

    @Test
    void workIsAbortedOnceAfterItsDeadline() {
      var work = watch.watch(5, aborted::incrementAndGet);

      watch.abortOverdue(5);
      assertEquals(0, aborted.get());
      watch.abortOverdue(6);
      watch.abortOverdue(7);

      assertEquals(1, aborted.get());
      assertFalse(work.close());
    }

    @Test
    void workThatHasEndedIsNotAborted() {
      assertTrue(watch.watch(5, aborted::incrementAndGet).close());

      watch.abortOverdue(6);

      assertEquals(0, aborted.get());
    }
  }
}
