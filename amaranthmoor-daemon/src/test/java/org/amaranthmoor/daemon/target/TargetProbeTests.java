package org.amaranthmoor.daemon.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.Admission;
import org.junit.jupiter.api.Test;

class TargetProbeTests {

  /** An executor that cannot start its first task and ignores the others. */
  private static final class FailingExecutor extends AbstractExecutorService {
    private int starts;

    @Override
    public void execute(Runnable task) {
      starts++;
      if (starts == 1) {
        throw new OutOfMemoryError("test");
      }
    }

    @Override
    public void shutdown() {}

    @Override
    public List<Runnable> shutdownNow() {
      return List.of();
    }

    @Override
    public boolean isShutdown() {
      return false;
    }

    @Override
    public boolean isTerminated() {
      return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
      return true;
    }
  }

  // On a full heap no thread could be started for the probe, and none was ever tried again.
  @Test
  void aProbeThatCannotBeStartedIsStartedLater() {
    TimeSource time = TimeSource.system();
    TargetDialect dialect = new NativeTargetDialect();
    FailingExecutor executor = new FailingExecutor();
    TargetProbe probe =
        new TargetProbe(
            Optional::empty,
            new HealthCheckClient(new TargetConnectionPool(1, 1, time), dialect),
            dialect,
            new Admission(1, 0, RandomGenerator.getDefault(), time.nanos()),
            executor,
            time,
            new EventLog(System.getLogger("test"), time));

    assertTrue(failsToStart(probe));
    probe.probe();

    assertEquals(2, executor.starts);
  }

  // JUnit ends the process when a test throws an OutOfMemoryError.
  private static boolean failsToStart(TargetProbe probe) {
    try {
      probe.probe();
      return false;
    } catch (OutOfMemoryError e) {
      return true;
    }
  }
}
