package org.amaranthmoor.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.platform.PlatformLog;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.platform.StateReader;
import org.junit.jupiter.api.Test;

class LogFollowerTests {

  /** A log whose first read fails by an error. */
  private static final class FailingLog implements PlatformLog {
    private final CountDownLatch reads = new CountDownLatch(2);

    @Override
    public ReadResult read(String stream, long from, int maxRecords, long waitMillis) {
      reads.countDown();
      if (reads.getCount() > 0) {
        throw new OutOfMemoryError("test");
      }
      return new ReadResult.Unavailable("test");
    }

    @Override
    public AppendResult append(String stream, byte[] bytes) {
      return new AppendResult.Rejected("test");
    }
  }

  // A full heap ended the reading of the log, and the node never learned a change again.
  @Test
  void anErrorDuringAReadDoesNotEndTheReading() throws InterruptedException {
    FailingLog platformLog = new FailingLog();
    TimeSource time = TimeSource.system();
    try (LogFollower follower =
        new LogFollower(
            new StateReader(platformLog),
            new StateHolder(),
            startedNanos -> {},
            time,
            new EventLog(System.getLogger("test"), time))) {
      follower.start();

      assertTrue(platformLog.reads.await(10, TimeUnit.SECONDS));
    }
  }
}
