package org.amaranthmoor.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

// On a full heap no thread could be started for an abort, and the work held its slot for ever.
class DeadlineWatchTests {

  private final AtomicInteger failuresLeft = new AtomicInteger();
  private final AtomicInteger aborts = new AtomicInteger();
  private final DeadlineWatch watch =
      new DeadlineWatch(
          task -> {
            if (failuresLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
              throw new OutOfMemoryError("test");
            }
            task.run();
          });

  @Test
  void anAbortThatCannotBeStartedIsStartedLater() {
    var unused = watch.watch(1, aborts::incrementAndGet);
    failuresLeft.set(1);
    abortOverdue(2);

    abortOverdue(3);
    abortOverdue(4);

    assertEquals(1, aborts.get());
  }

  @Test
  void anAbortThatCannotBeStartedDoesNotKeepTheOthersFromIt() {
    var first = watch.watch(1, aborts::incrementAndGet);
    var second = watch.watch(1, aborts::incrementAndGet);
    failuresLeft.set(1);

    abortOverdue(2);

    assertEquals(1, aborts.get());
    assertTrue(first.close() ^ second.close());
  }

  @Test
  void workThatEndsAfterItsAbortFailedToStartIsNotAborted() {
    DeadlineWatch.Watched work = watch.watch(1, aborts::incrementAndGet);
    failuresLeft.set(1);
    abortOverdue(2);

    assertTrue(work.close());
    abortOverdue(3);

    assertEquals(0, aborts.get());
  }

  @Test
  void workThatWasAbortedIsNotAbortedAgain() {
    DeadlineWatch.Watched work = watch.watch(1, aborts::incrementAndGet);

    abortOverdue(2);
    abortOverdue(3);

    assertFalse(work.close());
    assertEquals(1, aborts.get());
  }

  // JUnit ends the process when a test throws an OutOfMemoryError.
  private void abortOverdue(long nowNanos) {
    try {
      watch.abortOverdue(nowNanos);
    } catch (OutOfMemoryError e) {
      aborts.addAndGet(100);
    }
  }
}
