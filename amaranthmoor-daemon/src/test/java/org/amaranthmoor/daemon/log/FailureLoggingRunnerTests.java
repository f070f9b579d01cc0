package org.amaranthmoor.daemon.log;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.System.Logger;
import java.util.ResourceBundle;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.amaranthmoor.model.TimeSource;
import org.junit.jupiter.api.Test;

// A full heap ended the tick of a node for good: no gossip, and no deadline was enforced any more.
class FailureLoggingRunnerTests {

  private static final int RUNS_AFTER_ERROR = 3;

  /** A logger for whose lines there is no memory. */
  private static final class FullLogger implements Logger {

    @Override
    public String getName() {
      return "full";
    }

    @Override
    public boolean isLoggable(Level level) {
      throw new OutOfMemoryError("of the log");
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
      throw new OutOfMemoryError("of the log");
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
      throw new OutOfMemoryError("of the log");
    }
  }

  private final FailureLoggingRunner tasks =
      new FailureLoggingRunner(new EventLog(new FullLogger(), TimeSource.system()));

  @Test
  void anErrorWhoseLineFailsTooIsNotThrown() {
    assertDoesNotThrow(
        () ->
            tasks.run(
                () -> {
                  throw new OutOfMemoryError("of the task");
                }));
  }

  @Test
  void aTaskThatFailsByAnErrorRunsAgain() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(RUNS_AFTER_ERROR);
    Runnable task =
        () -> {
          runs.countDown();
          throw new OutOfMemoryError("of the task");
        };
    try (ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1)) {
      var unused =
          scheduler.scheduleWithFixedDelay(() -> tasks.run(task), 1, 1, TimeUnit.MILLISECONDS);

      assertTrue(runs.await(10, TimeUnit.SECONDS));
      scheduler.shutdownNow();
    }
  }
}
