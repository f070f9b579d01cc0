package org.amaranthmoor.daemon.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.SourceEpochTracker;
import org.amaranthmoor.protocol.platform.InstanceRecord;
import org.amaranthmoor.quota.QuotaBound;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.TargetRun;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

// A full heap while the shared records were read or written left a node without the other nodes, or
// an acknowledged leave without a record.
class InstanceDirectoryTests {

  private static final SourceEpoch EPOCH = new SourceEpoch(1);
  private static final long TIMEOUT_SECONDS = 20;
  private static final TargetRun RUN = new TargetRun("run-1", 1_000);

  /** Shared records in memory, whose next read or write can be made to fail by an error. */
  private static final class FailingRecords implements SharedRecords {
    private final AtomicBoolean readFails = new AtomicBoolean();
    private final AtomicBoolean writeFails = new AtomicBoolean();
    private final CountDownLatch leaveStored = new CountDownLatch(1);
    private final Semaphore stored = new Semaphore(0);

    @Override
    public ReadResult readAll() {
      if (readFails.compareAndSet(true, false)) {
        throw new OutOfMemoryError("test");
      }
      return new ReadResult.AllRecords(Map.of(), EPOCH);
    }

    @Override
    public WriteResult write(String key, byte[] value) {
      if (writeFails.compareAndSet(true, false)) {
        throw new OutOfMemoryError("test");
      }
      try {
        stored.release();
        if (InstanceRecord.parseFrom(value).getLeftRunsCount() > 0) {
          leaveStored.countDown();
        }
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException(e);
      }
      return new WriteResult.Stored(EPOCH);
    }
  }

  private final FailingRecords records = new FailingRecords();
  private final CountDownLatch read = new CountDownLatch(1);
  private final List<List<TargetRun>> announced = new ArrayList<>();
  private InstanceDirectory directory = directory(announced::add);

  private InstanceDirectory directory(Consumer<List<TargetRun>> onLeftRunsChange) {
    Endpoint endpoint = new Endpoint("127.0.0.1", 1_000);
    MeshSettings settings =
        new MeshSettings(
            new NodeName("n1"),
            new ZoneName("z"),
            new RegionName("r"),
            endpoint,
            endpoint,
            endpoint,
            List.of(),
            false,
            Duration.ofSeconds(1),
            0,
            0,
            QuotaBound.NONE,
            0,
            Duration.ofSeconds(2));
    TimeSource time = TimeSource.system();
    return new InstanceDirectory(
        settings,
        records,
        new SourceEpochTracker(),
        new CrashLedger(),
        contents -> read.countDown(),
        onLeftRunsChange,
        time,
        new EventLog(System.getLogger("test"), time));
  }

  @AfterEach
  void close() {
    directory.close();
  }

  @Test
  void recordsWhoseReadFailedByAnErrorAreReadAgain() throws InterruptedException {
    records.readFails.set(true);

    directory.start();

    assertTrue(read.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void aRecordWhoseWriteFailedByAnErrorIsWrittenAgain() throws InterruptedException {
    records.writeFails.set(true);

    directory.start();

    awaitStored();
  }

  @Test
  void aLeaveWhoseWriteFailedByAnErrorIsStoredLater() throws InterruptedException {
    directory.start();
    awaitStored();
    records.writeFails.set(true);

    assertThrows(StoreFailed.class, () -> storeLeave(RUN));

    assertTrue(records.leaveStored.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  // The target reports again, as its report was not acknowledged; the second one is.
  @Test
  void aLeaveWhoseAnnouncementFailedByAnErrorIsAnnouncedByTheNextReport() {
    AtomicBoolean announcementFails = new AtomicBoolean(true);
    directory =
        directory(
            runs -> {
              if (announcementFails.compareAndSet(true, false)) {
                throw new OutOfMemoryError("test");
              }
              announced.add(runs);
            });
    assertThrows(StoreFailed.class, () -> storeLeave(RUN));

    directory.storeLeave(RUN);

    assertEquals(List.of(List.of(RUN)), announced);
  }

  private static final class StoreFailed extends Exception {
    private static final long serialVersionUID = 1L;
  }

  // JUnit ends the process when a test throws an OutOfMemoryError.
  private void storeLeave(TargetRun run) throws StoreFailed {
    try {
      directory.storeLeave(run);
    } catch (OutOfMemoryError e) {
      throw new StoreFailed();
    }
  }

  @Test
  void aQuarantineWhoseWriteFailedByAnErrorIsStoredLater() throws InterruptedException {
    directory.start();
    awaitStored();
    records.writeFails.set(true);

    directory.storeQuarantine();

    awaitStored();
    assertFalse(records.writeFails.get());
  }

  private void awaitStored() throws InterruptedException {
    assertTrue(records.stored.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }
}
