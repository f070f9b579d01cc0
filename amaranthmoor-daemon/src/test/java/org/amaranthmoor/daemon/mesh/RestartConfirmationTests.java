package org.amaranthmoor.daemon.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.target.HealthCheckClient;
import org.amaranthmoor.daemon.target.NativeTargetDialect;
import org.amaranthmoor.daemon.target.TargetConnectionPool;
import org.amaranthmoor.daemon.target.TargetDialect;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetRun;
import org.junit.jupiter.api.Test;

class RestartConfirmationTests {

  private final AtomicInteger starts = new AtomicInteger();

  // On a full heap no thread could be started for the check, and the target got no request again.
  @Test
  void aCheckThatCannotBeStartedIsStartedLater() {
    TimeSource time = TimeSource.system();
    TargetLifecycle lifecycle = new TargetLifecycle(false);
    lifecycle.onReport(
        new TargetLifecycle.Report(
            new TargetRun("run-1", 1_000),
            1,
            new ServedService(new ServiceName("svc"), 1),
            "127.0.0.1",
            1_000,
            false,
            0),
        time.nanos());
    TargetDialect dialect = new NativeTargetDialect();
    RestartConfirmation confirmation =
        new RestartConfirmation(
            lifecycle,
            report -> Optional.empty(),
            new HealthCheckClient(new TargetConnectionPool(1, 1, time), dialect),
            dialect,
            this::execute,
            time,
            new EventLog(System.getLogger("test"), time));
    confirmation.onRecordsComplete();

    assertTrue(failsToStart(confirmation));
    confirmation.checkIfNeeded(() -> {});

    assertEquals(2, starts.get());
  }

  private void execute(Runnable task) {
    if (starts.incrementAndGet() == 1) {
      throw new OutOfMemoryError("test");
    }
  }

  // JUnit ends the process when a test throws an OutOfMemoryError.
  private static boolean failsToStart(RestartConfirmation confirmation) {
    try {
      confirmation.checkIfNeeded(() -> {});
      return false;
    } catch (OutOfMemoryError e) {
      return true;
    }
  }
}
