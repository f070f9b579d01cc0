package org.amaranthmoor.daemon.mesh;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.SourceEpochTracker;
import org.amaranthmoor.protocol.platform.InstanceRecord;
import org.amaranthmoor.protocol.platform.LeftRun;
import org.amaranthmoor.target.TargetRun;

/**
 * Lets nodes find each other through shared records, and keeps this node's promises there.
 *
 * <p>A node writes its record when it starts for the first time and when its target leaves; it
 * reads all records once at its start, after its own is written if it is new, so that of two nodes
 * that start together at least one finds the other. Everything else spreads by gossip. Once the
 * source has come back from an older copy, the record is written again. Invariant: what an earlier
 * process of this node acknowledged counts as known only if the record that was read is of the
 * newest epoch. Safe for use by several threads.
 */
final class InstanceDirectory implements AutoCloseable {

  /** Runs that a record names at most; only those whose reports may still be under way matter. */
  private static final int MAX_LEFT_RUNS = 4;

  /** Time between writing and reading at the first start, in milliseconds, so that others write. */
  private static final long PAUSE_BEFORE_READ_MILLIS = 700;

  /** Longest wait for the epoch of the source before the first record, in milliseconds. */
  private static final long FIRST_EPOCH_MILLIS = 500;

  /** Time between two looks for the epoch, in milliseconds. */
  private static final long LOOK_MILLIS = 20;

  /** Least pause after a failure, in milliseconds; the pause is up to twice as long. */
  private static final long PAUSE_AFTER_FAILURE_MILLIS = 500;

  /**
   * What the records say.
   *
   * @param others other nodes
   * @param leftRuns runs that an earlier process of this node acknowledged to leave
   * @param wholeHistory whether these are all; not so if the source has lost some of them
   */
  record Contents(List<Member> others, List<TargetRun> leftRuns, boolean wholeHistory) {}

  private final MeshSettings settings;
  private final SharedRecords records;
  private final SourceEpochTracker history;
  private final Consumer<Contents> onRead;
  private final EventLog log;
  private final List<TargetRun> leftRuns = new ArrayList<>();
  private final Object writing = new Object();
  private final Thread thread;
  private volatile boolean closed;
  // Whether all leaves that earlier processes of this node acknowledged are known.
  private volatile boolean wholeHistory;
  // Whether this process has written the record.
  private volatile boolean kept;

  InstanceDirectory(
      MeshSettings settings,
      SharedRecords records,
      SourceEpochTracker history,
      Consumer<Contents> onRead,
      EventLog log) {
    this.settings = settings;
    this.records = records;
    this.history = history;
    this.wholeHistory = settings.firstStart();
    this.onRead = onRead;
    this.log = log;
    this.thread = Thread.ofVirtual().name("instance-directory").unstarted(this::run);
  }

  void start() {
    thread.start();
  }

  private void run() {
    try {
      if (settings.firstStart()) {
        awaitEpoch();
        if (!kept) {
          writeUntilKept();
        }
        Thread.sleep(PAUSE_BEFORE_READ_MILLIS);
        readUntilRead();
      } else if (!readUntilRead()) {
        writeUntilKept();
      }
    } catch (InterruptedException e) {
      log.info("directory-closed", () -> "node=" + settings.node());
    }
  }

  // The record names the epoch in which it is written; the configuration is read at the same time.
  private void awaitEpoch() throws InterruptedException {
    for (long waited = 0; waited < FIRST_EPOCH_MILLIS; waited += LOOK_MILLIS) {
      if (history.newest().known()) {
        return;
      }
      Thread.sleep(LOOK_MILLIS);
    }
  }

  // Returns whether this node's own record is up to date.
  private boolean readUntilRead() throws InterruptedException {
    while (!closed) {
      switch (records.readAll()) {
        case SharedRecords.ReadResult.AllRecords all -> {
          return take(all);
        }
        case SharedRecords.ReadResult.Unavailable unavailable ->
            pause("directory-unreadable", unavailable.detail());
      }
    }
    return true;
  }

  private void writeUntilKept() throws InterruptedException {
    Optional<String> failure = write();
    while ((failure.isPresent() || history.recordMayBeLost()) && !closed) {
      if (failure.isPresent()) {
        pause("directory-unwritable", failure.get());
      }
      failure = write();
    }
  }

  /**
   * Writes this node's record again, as the source may have lost it.
   *
   * @param pauseNanos how long to wait first, in nanoseconds
   */
  void writeAgain(long pauseNanos) {
    Thread.startVirtualThread(
        () -> {
          try {
            Thread.sleep(Duration.ofNanos(pauseNanos));
            if (history.recordMayBeLost()) {
              writeUntilKept();
            }
            log.info("record-kept-again", () -> "epoch=" + history.newest());
          } catch (InterruptedException e) {
            log.warn("record-not-kept", () -> "detail=interrupted");
          }
        });
  }

  private void pause(String event, String detail) throws InterruptedException {
    log.warn(event, () -> "detail=" + EventLog.quote(detail));
    Thread.sleep(
        PAUSE_AFTER_FAILURE_MILLIS
            + ThreadLocalRandom.current().nextLong(PAUSE_AFTER_FAILURE_MILLIS));
  }

  private Optional<String> write() {
    synchronized (writing) {
      InstanceRecord.Builder record =
          InstanceRecord.newBuilder()
              .setNode(settings.node().value())
              .setHost(settings.nodeEndpoint().host())
              .setPort(settings.nodeEndpoint().port())
              .setZone(settings.zone().value())
              .setRegion(settings.region().value())
              .setEpoch(wholeHistory ? history.newest().number() : SourceEpoch.UNKNOWN.number())
              .setFirstEpoch(history.first().number());
      for (TargetRun run : leftRuns) {
        record.addLeftRuns(
            LeftRun.newBuilder().setId(run.id()).setStartedMillis(run.startedMillis()));
      }
      return switch (records.write(settings.node().value(), record.build().toByteArray())) {
        case SharedRecords.WriteResult.Stored acknowledged -> {
          history.onRecordStored(acknowledged.epoch());
          kept = true;
          yield Optional.empty();
        }
        case SharedRecords.WriteResult.Failed failed -> Optional.of(failed.detail());
      };
    }
  }

  /**
   * Keeps for good that this node has acknowledged that a run leaves. Blocks for the time limit of
   * one write; a failed write is repeated in the background.
   *
   * @param run the run
   */
  void keepLeft(TargetRun run) {
    Optional<String> failure;
    // Whoever keeps the same run at the same time waits for this write.
    synchronized (writing) {
      if (leftRuns.contains(run)) {
        return;
      }
      leftRuns.add(run);
      if (leftRuns.size() > MAX_LEFT_RUNS) {
        leftRuns.removeFirst();
      }
      failure = write();
    }
    if (failure.isPresent()) {
      log.warn(
          "leave-not-kept", () -> "run=" + run.id() + " detail=" + EventLog.quote(failure.get()));
      Thread.startVirtualThread(this::keepAgain);
    }
  }

  private void keepAgain() {
    try {
      writeUntilKept();
    } catch (InterruptedException e) {
      log.warn("leave-not-kept", () -> "detail=interrupted");
    }
  }

  private boolean take(SharedRecords.ReadResult.AllRecords all) {
    history.onEpochSeen(all.epoch());
    List<Member> others = new ArrayList<>();
    Optional<InstanceRecord> own = Optional.empty();
    for (Map.Entry<String, byte[]> entry : all.byKey().entrySet()) {
      Optional<InstanceRecord> record = parse(entry);
      record.ifPresent(found -> history.onPastEpoch(new SourceEpoch(found.getFirstEpoch())));
      if (entry.getKey().equals(settings.node().value())) {
        own = record;
      } else {
        record.ifPresent(found -> others.add(member(found)));
      }
    }
    List<TargetRun> left = own.map(InstanceDirectory::leftRuns).orElse(List.of());
    wholeHistory = own.map(this::isOfNewestEpoch).orElse(!history.hasRolledBack());
    boolean upToDate = wholeHistory && own.map(this::isCurrent).orElse(false);
    if (upToDate) {
      history.onRecordStored(new SourceEpoch(own.get().getEpoch()));
    }
    synchronized (writing) {
      for (TargetRun run : left) {
        if (!leftRuns.contains(run)) {
          leftRuns.addFirst(run);
        }
      }
    }
    onRead.accept(new Contents(others, left, wholeHistory));
    return upToDate;
  }

  // A record of an earlier epoch may be from before a leave that was kept and then lost. One that a
  // process without the whole history wrote names no epoch, so that the next one does not rely on
  // it.
  private boolean isOfNewestEpoch(InstanceRecord record) {
    return new SourceEpoch(record.getEpoch()).compareTo(history.newest()) >= 0;
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

  private static List<TargetRun> leftRuns(InstanceRecord record) {
    return record.getLeftRunsList().stream()
        .map(run -> new TargetRun(run.getId(), run.getStartedMillis()))
        .toList();
  }

  private boolean isCurrent(InstanceRecord record) {
    return record.getHost().equals(settings.nodeEndpoint().host())
        && record.getPort() == settings.nodeEndpoint().port()
        && record.getZone().equals(settings.zone().value());
  }

  // Whatever the member says of itself overrides this.
  private static Member member(InstanceRecord record) {
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
