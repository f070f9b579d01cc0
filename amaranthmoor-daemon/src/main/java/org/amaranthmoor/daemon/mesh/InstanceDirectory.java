package org.amaranthmoor.daemon.mesh;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.RequestFingerprint;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.SourceEpochTracker;
import org.amaranthmoor.protocol.platform.InstanceRecord;
import org.amaranthmoor.protocol.platform.LeftRun;
import org.amaranthmoor.protocol.platform.QuarantineRecord;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.LeftRuns;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.Suspicion;
import org.amaranthmoor.target.TargetRun;

/**
 * Discovers other nodes through shared records, and stores there which runs of this node's target
 * have left.
 *
 * <p>A node writes its record when it starts for the first time, when its target leaves, and when a
 * request is quarantined because its target crashed, or is cleared. It reads all records once at
 * its start; on the first start it writes its own before, so that of two nodes that start together
 * at least one finds the other. Everything else spreads by gossip. When the source has been
 * restored from an older copy, the node writes its record again.
 *
 * <p>Invariant: the leaves that earlier processes of this node acknowledged count as known only if
 * the record that was read is of the newest epoch. No failure ends the thread, and a change that
 * could not be written is written later. Safe for use by several threads.
 */
final class InstanceDirectory implements AutoCloseable {

  /**
   * Delay between writing and reading at the first start, in milliseconds, in which other nodes
   * write their records.
   */
  private static final long READ_DELAY_MILLIS = 700;

  /** Largest number of requests of the quarantine in a record. */
  private static final int MAX_QUARANTINE_RECORDS = 16;

  /** Longest wait for the epoch of the source before the first write, in milliseconds. */
  private static final long EPOCH_TIMEOUT_MILLIS = 500;

  /** Interval at which the epoch is polled, in milliseconds. */
  private static final long EPOCH_POLL_MILLIS = 20;

  /** Longest time after which a change of the record is found, in milliseconds. */
  private static final long CHANGE_POLL_MILLIS = 500;

  /** Shortest backoff after a failure, in milliseconds; jitter makes it up to twice as long. */
  private static final long MIN_BACKOFF_MILLIS = 500;

  /**
   * Contents of the shared records.
   *
   * @param others the other nodes
   * @param leftRuns runs whose leave an earlier process of this node acknowledged
   * @param historyKnown whether these are all such runs; false if the source may have lost some
   * @param quarantine requests that a node knew to be quarantined, or to have been
   */
  record Contents(
      List<Member> others,
      List<TargetRun> leftRuns,
      boolean historyKnown,
      List<SuspectRequest> quarantine) {}

  private final MeshSettings settings;
  private final SharedRecords records;
  private final SourceEpochTracker epochTracker;
  private final CrashLedger crashLedger;
  private final Consumer<Contents> onRead;
  private final Consumer<List<TargetRun>> onLeftRunsChange;
  private final TimeSource time;
  private final EventLog log;
  private final FailureLoggingRunner tasks;
  private final LeftRuns leftRuns = new LeftRuns();
  private final Object writeLock = new Object();
  private final Runnable pause = this::pauseAfterFailure;
  private final Thread thread;
  private volatile boolean closed;
  // Whether all leaves that earlier processes of this node acknowledged are known.
  private volatile boolean historyKnown;
  // Changes of the record, and how many of them the stored record contains.
  private final AtomicLong changes = new AtomicLong();
  private volatile long storedChanges;
  // Whether other nodes have been sent all leaves. Guarded by the write lock.
  private boolean leavesAnnounced = true;
  // Whether the stored record lacks a leave. Written under the write lock, read without it.
  private volatile boolean leaveUnstored;
  // When the record is written again after a rollback of the source; only while that is due.
  private volatile boolean rewritePending;
  private volatile long rewriteNanos;
  // Whether this process has stored the record.
  private volatile boolean recordStored;

  /**
   * Creates a directory; {@link #start} begins to read and write.
   *
   * @param settings the settings of this node
   * @param records the records that all nodes share
   * @param epochTracker tracks the epochs of the source of the records
   * @param crashLedger provides the quarantine
   * @param onRead receives the contents of the records
   * @param onLeftRunsChange receives the runs of this node's target that have left, newest last,
   *     before a new one is stored; must not block
   * @param time the clock
   * @param log receives failures
   */
  InstanceDirectory(
      MeshSettings settings,
      SharedRecords records,
      SourceEpochTracker epochTracker,
      CrashLedger crashLedger,
      Consumer<Contents> onRead,
      Consumer<List<TargetRun>> onLeftRunsChange,
      TimeSource time,
      EventLog log) {
    this.settings = settings;
    this.records = records;
    this.epochTracker = epochTracker;
    this.crashLedger = crashLedger;
    this.historyKnown = settings.firstStart();
    this.onRead = onRead;
    this.onLeftRunsChange = onLeftRunsChange;
    this.time = time;
    this.log = log;
    this.tasks = new FailureLoggingRunner(log);
    this.thread = Thread.ofVirtual().name("instance-directory").unstarted(this::run);
  }

  /** {@return the known runs of this node's target that have left, newest last} */
  List<TargetRun> leftRuns() {
    return leftRuns.list();
  }

  void start() {
    thread.start();
  }

  private void run() {
    boolean initialized = false;
    while (!closed) {
      try {
        if (!initialized) {
          readAndWrite();
          initialized = true;
        }
        writeChange();
      } catch (InterruptedException e) {
        log.info("directory-closed", () -> "node=" + settings.node());
        return;
      } catch (RuntimeException | Error e) {
        tasks.onFailure("directory-failed", e);
        // On a full heap, the pause may fail too.
        tasks.run(pause);
      }
    }
  }

  private void pauseAfterFailure() {
    LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(MIN_BACKOFF_MILLIS));
  }

  private void readAndWrite() throws InterruptedException {
    if (settings.firstStart()) {
      awaitEpoch();
      writeUntilStored(() -> recordStored ? Optional.empty() : write());
      Thread.sleep(READ_DELAY_MILLIS);
      readUntilSuccess();
    } else if (!readUntilSuccess()) {
      writeUntilStored();
    }
  }

  // Waits for a change for a short time, and writes it.
  private void writeChange() throws InterruptedException {
    if (hasUnstoredChange()) {
      writeUntilStored(() -> hasUnstoredChange() ? write() : Optional.empty());
    } else if (rewritePending && rewriteNanos - time.nanos() <= 0) {
      rewriteRecord();
    } else {
      awaitChange();
    }
  }

  private void rewriteRecord() throws InterruptedException {
    // Cleared first, as the source may be rolled back again meanwhile.
    rewritePending = false;
    boolean done = false;
    try {
      if (epochTracker.recordMayBeLost()) {
        writeUntilStored();
      }
      done = true;
    } finally {
      if (!done) {
        rewritePending = true;
      }
    }
    log.info("record-kept-again", () -> "epoch=" + epochTracker.newest());
  }

  private void awaitChange() throws InterruptedException {
    long pollNanos = TimeUnit.MILLISECONDS.toNanos(CHANGE_POLL_MILLIS);
    long nanos = rewritePending ? Math.min(pollNanos, rewriteNanos - time.nanos()) : pollNanos;
    LockSupport.parkNanos(this, nanos);
    if (Thread.interrupted()) {
      throw new InterruptedException();
    }
  }

  private boolean hasUnstoredChange() {
    return storedChanges < changes.get();
  }

  private void onChange() {
    changes.incrementAndGet();
    LockSupport.unpark(thread);
  }

  // The record contains the current epoch, which the first read of the configuration reports; that
  // read runs at the same time.
  private void awaitEpoch() throws InterruptedException {
    for (long waited = 0; waited < EPOCH_TIMEOUT_MILLIS; waited += EPOCH_POLL_MILLIS) {
      if (epochTracker.newest().known()) {
        return;
      }
      Thread.sleep(EPOCH_POLL_MILLIS);
    }
  }

  // Returns whether this node's own record is up to date.
  private boolean readUntilSuccess() throws InterruptedException {
    while (!closed) {
      switch (records.readAll()) {
        case SharedRecords.ReadResult.AllRecords all -> {
          return applyRecords(all);
        }
        case SharedRecords.ReadResult.Unavailable unavailable -> {
          backOff("directory-unreadable", unavailable.detail());
          // The next process of this node must find the leave, whenever this one ends.
          if (leaveUnstored) {
            var unused = write();
          }
        }
      }
    }
    return true;
  }

  private void writeUntilStored() throws InterruptedException {
    writeUntilStored(this::write);
  }

  // The first write may differ: another thread may have stored the record while it waits.
  private void writeUntilStored(Supplier<Optional<String>> firstWrite) throws InterruptedException {
    Optional<String> failure;
    synchronized (writeLock) {
      failure = firstWrite.get();
    }
    while ((failure.isPresent() || epochTracker.recordMayBeLost()) && !closed) {
      backOff("directory-unwritable", failure.orElse("written in an epoch that is not the newest"));
      failure = write();
    }
  }

  /**
   * Writes this node's record again after a delay, unless it has been stored in the newest epoch by
   * then. Used after a rollback of the source, which may have lost the record. Does not block.
   *
   * @param delayNanos the delay in nanoseconds
   */
  void rewriteAfter(long delayNanos) {
    rewriteNanos = time.nanos() + delayNanos;
    rewritePending = true;
    LockSupport.unpark(thread);
  }

  private void backOff(String event, String detail) throws InterruptedException {
    log.warn(event, () -> "detail=" + EventLog.quote(detail));
    Thread.sleep(MIN_BACKOFF_MILLIS + ThreadLocalRandom.current().nextLong(MIN_BACKOFF_MILLIS));
  }

  private Optional<String> write() {
    synchronized (writeLock) {
      if (closed) {
        return Optional.of("the directory is closed");
      }
      long includedChanges = changes.get();
      InstanceRecord.Builder record =
          InstanceRecord.newBuilder()
              .setNode(settings.node().value())
              .setHost(settings.nodeEndpoint().host())
              .setPort(settings.nodeEndpoint().port())
              .setZone(settings.zone().value())
              .setRegion(settings.region().value())
              .setEpoch(
                  historyKnown ? epochTracker.newest().number() : SourceEpoch.UNKNOWN.number())
              .setFirstEpoch(epochTracker.first().number());
      for (TargetRun run : leftRuns.list()) {
        record.addLeftRuns(
            LeftRun.newBuilder().setId(run.id()).setStartedMillis(run.startedMillis()));
      }
      crashLedger
          .quarantineHistory(MAX_QUARANTINE_RECORDS, time.nanos())
          .forEach(suspect -> record.addQuarantine(toRecord(suspect)));
      return switch (records.write(settings.node().value(), record.build().toByteArray())) {
        case SharedRecords.WriteResult.Stored stored -> {
          epochTracker.onRecordStored(stored.epoch());
          recordStored = true;
          storedChanges = includedChanges;
          leaveUnstored = false;
          yield Optional.empty();
        }
        case SharedRecords.WriteResult.Failed failed -> Optional.of(failed.detail());
      };
    }
  }

  private QuarantineRecord toRecord(SuspectRequest suspect) {
    return QuarantineRecord.newBuilder()
        .setFingerprintHigh(suspect.fingerprint().high())
        .setFingerprintLow(suspect.fingerprint().low())
        .setClearances(suspect.suspicion().clearances())
        .setCrashes(suspect.suspicion().crashes())
        .setChangedMillis(time.wallMillis() - suspect.ageMillis())
        .build();
  }

  // An age by the clock of another instance; one that was set back makes it younger.
  private Optional<SuspectRequest> toSuspect(QuarantineRecord record) {
    boolean valid = record.getClearances() >= 0 && record.getCrashes() >= 0;
    return valid
        ? Optional.of(
            new SuspectRequest(
                new RequestFingerprint(record.getFingerprintHigh(), record.getFingerprintLow()),
                new Suspicion(record.getClearances(), record.getCrashes()),
                Math.max(0, time.wallMillis() - record.getChangedMillis())))
        : Optional.empty();
  }

  /**
   * Stores which requests are quarantined, so that a restart of all nodes does not forget them.
   * Does not block; a failed write is retried. The record is not written before the first read,
   * which adds the leaves of earlier processes to it.
   */
  void storeQuarantine() {
    onChange();
  }

  /**
   * Announces that a run leaves, and stores it in the shared records, so that the next process of
   * this node knows it. Blocks for at most the time limit of one write; a failed write is retried
   * in the background.
   *
   * @param run the run
   */
  void storeLeave(TargetRun run) {
    boolean stored = false;
    try {
      stored = announceAndStoreLeave(run);
    } finally {
      // Also after an error, before the leave is reported again.
      if (!stored) {
        LockSupport.unpark(thread);
      }
    }
  }

  private boolean announceAndStoreLeave(TargetRun run) {
    Optional<String> failure;
    // A concurrent call for the same run waits for this write.
    synchronized (writeLock) {
      boolean added = leftRuns.add(run);
      if (added) {
        leavesAnnounced = false;
        leaveUnstored = true;
        changes.incrementAndGet();
      }
      if (!leavesAnnounced) {
        onLeftRunsChange.accept(leftRuns.list());
        leavesAnnounced = true;
      }
      if (!added) {
        return true;
      }
      failure = write();
    }
    failure.ifPresent(
        detail ->
            log.warn(
                "leave-not-kept", () -> "run=" + run.id() + " detail=" + EventLog.quote(detail)));
    return failure.isEmpty();
  }

  private boolean applyRecords(SharedRecords.ReadResult.AllRecords all) {
    epochTracker.onEpochSeen(all.epoch());
    List<Member> others = new ArrayList<>();
    List<SuspectRequest> quarantine = new ArrayList<>();
    Optional<InstanceRecord> own = Optional.empty();
    for (Map.Entry<String, byte[]> entry : all.byKey().entrySet()) {
      Optional<InstanceRecord> record = parse(entry);
      record.ifPresent(found -> epochTracker.onPastEpoch(new SourceEpoch(found.getFirstEpoch())));
      record.stream()
          .flatMap(found -> found.getQuarantineList().stream())
          .map(this::toSuspect)
          .flatMap(Optional::stream)
          .forEach(quarantine::add);
      if (entry.getKey().equals(settings.node().value())) {
        own = record;
      } else {
        record.ifPresent(found -> others.add(toMember(found)));
      }
    }
    List<TargetRun> ownLeftRuns = own.map(InstanceDirectory::leftRunsOf).orElse(List.of());
    historyKnown =
        own.map(record -> isFromNewestEpoch(record, all.epoch()))
            .orElse(!epochTracker.hasRolledBack());
    boolean upToDate = historyKnown && own.map(this::hasCurrentAddressAndZone).orElse(false);
    if (upToDate) {
      epochTracker.onRecordStored(new SourceEpoch(own.get().getEpoch()));
    }
    leftRuns.addEarlier(ownLeftRuns);
    onRead.accept(new Contents(others, ownLeftRuns, historyKnown, quarantine));
    return upToDate;
  }

  // A record of an earlier epoch may be older than a leave that was stored and then lost. A process
  // whose history is not complete writes no epoch, so that the next process does not rely on its
  // record. An epoch that the source has not reached yet was written by somebody else.
  private boolean isFromNewestEpoch(InstanceRecord record, SourceEpoch reached) {
    SourceEpoch epoch = new SourceEpoch(record.getEpoch());
    return epoch.compareTo(epochTracker.newest()) >= 0 && epoch.compareTo(reached) <= 0;
  }

  private Optional<InstanceRecord> parse(Map.Entry<String, byte[]> entry) {
    try {
      InstanceRecord record = InstanceRecord.parseFrom(entry.getValue());
      boolean valid =
          Names.isName(record.getNode())
              && Names.isName(record.getZone())
              && Names.isName(record.getRegion())
              && record.getEpoch() >= 0
              && record.getFirstEpoch() >= 0
              && Endpoint.parse(record.getHost() + ":" + record.getPort()).isPresent();
      if (valid) {
        return Optional.of(record);
      }
      log.warn("instance-record-invalid", () -> "key=" + EventLog.quote(entry.getKey()));
    } catch (InvalidProtocolBufferException e) {
      log.warn(
          "instance-record-invalid",
          () -> "key=" + EventLog.quote(entry.getKey()) + " error=" + EventLog.quote(e.toString()));
    }
    return Optional.empty();
  }

  private static List<TargetRun> leftRunsOf(InstanceRecord record) {
    return record.getLeftRunsList().stream()
        .map(run -> new TargetRun(run.getId(), run.getStartedMillis()))
        .toList();
  }

  private boolean hasCurrentAddressAndZone(InstanceRecord record) {
    return record.getHost().equals(settings.nodeEndpoint().host())
        && record.getPort() == settings.nodeEndpoint().port()
        && record.getZone().equals(settings.zone().value());
  }

  // Incarnation 0, so that any state that the member announces itself supersedes this one.
  private static Member toMember(InstanceRecord record) {
    return new Member(
        new NodeName(record.getNode()),
        new Incarnation(0),
        Member.Liveness.ALIVE,
        record.getHost(),
        record.getPort(),
        new ZoneName(record.getZone()),
        new RegionName(record.getRegion()),
        false,
        0);
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
