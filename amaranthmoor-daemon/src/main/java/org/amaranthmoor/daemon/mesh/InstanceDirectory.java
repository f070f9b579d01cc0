package org.amaranthmoor.daemon.mesh;

import com.google.protobuf.InvalidProtocolBufferException;
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
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.protocol.platform.InstanceRecord;
import org.amaranthmoor.protocol.platform.LeftRun;
import org.amaranthmoor.target.TargetRun;

/**
 * Lets nodes find each other through shared records, and keeps this node's promises there.
 *
 * <p>A node writes its record when it starts for the first time and when its target leaves; it
 * reads all records once at its start, after its own is written if it is new, so that of two nodes
 * that start together at least one finds the other. Everything else spreads by gossip. Safe for use
 * by several threads.
 */
final class InstanceDirectory implements AutoCloseable {

  /** Runs that a record names at most; only those whose reports may still be under way matter. */
  private static final int MAX_LEFT_RUNS = 4;

  /** Time between writing and reading at the first start, in milliseconds, so that others write. */
  private static final long PAUSE_BEFORE_READ_MILLIS = 700;

  /** Least pause after a failure, in milliseconds; the pause is up to twice as long. */
  private static final long PAUSE_AFTER_FAILURE_MILLIS = 500;

  /**
   * What the records say.
   *
   * @param others other nodes
   * @param leftRuns runs that an earlier process of this node acknowledged to leave
   */
  record Contents(List<Member> others, List<TargetRun> leftRuns) {}

  private final MeshSettings settings;
  private final SharedRecords records;
  private final Consumer<Contents> onRead;
  private final EventLog log;
  private final List<TargetRun> leftRuns = new ArrayList<>();
  private final Object writing = new Object();
  private final Thread thread;
  private volatile boolean closed;

  InstanceDirectory(
      MeshSettings settings, SharedRecords records, Consumer<Contents> onRead, EventLog log) {
    this.settings = settings;
    this.records = records;
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
        writeUntilKept();
        Thread.sleep(PAUSE_BEFORE_READ_MILLIS);
        readUntilRead();
      } else if (!readUntilRead()) {
        writeUntilKept();
      }
    } catch (InterruptedException e) {
      log.info("directory-closed", () -> "node=" + settings.node());
    }
  }

  // Returns whether this node's own record is up to date.
  private boolean readUntilRead() throws InterruptedException {
    while (!closed) {
      switch (records.readAll()) {
        case SharedRecords.Reading.Whole whole -> {
          return take(whole.byKey());
        }
        case SharedRecords.Reading.Unavailable unavailable ->
            pause("directory-unreadable", unavailable.detail());
      }
    }
    return true;
  }

  private void writeUntilKept() throws InterruptedException {
    Optional<String> failure = write();
    while (failure.isPresent() && !closed) {
      pause("directory-unwritable", failure.get());
      failure = write();
    }
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
              .setHost(settings.nodes().host())
              .setPort(settings.nodes().port())
              .setZone(settings.zone().value())
              .setRegion(settings.region().value());
      for (TargetRun run : leftRuns) {
        record.addLeftRuns(
            LeftRun.newBuilder().setId(run.id()).setStartedMillis(run.startedMillis()));
      }
      Optional<String> failure =
          records.write(settings.node().value(), record.build().toByteArray());
      return failure;
    }
  }

  /**
   * Keeps for good that this node has acknowledged that a run leaves. Blocks for the time limit of
   * one write; a failed write is repeated in the background.
   *
   * @param run the run
   */
  void keepLeft(TargetRun run) {
    synchronized (writing) {
      if (leftRuns.contains(run)) {
        return;
      }
      leftRuns.add(run);
      if (leftRuns.size() > MAX_LEFT_RUNS) {
        leftRuns.removeFirst();
      }
    }
    Optional<String> failure = write();
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

  private boolean take(Map<String, byte[]> byKey) {
    List<Member> others = new ArrayList<>();
    List<TargetRun> left = List.of();
    boolean upToDate = false;
    for (Map.Entry<String, byte[]> entry : byKey.entrySet()) {
      Optional<InstanceRecord> record = parse(entry);
      if (record.isEmpty()) {
        continue;
      }
      if (entry.getKey().equals(settings.node().value())) {
        left = leftRuns(record.get());
        upToDate = isCurrent(record.get());
      } else {
        others.add(member(record.get()));
      }
    }
    synchronized (writing) {
      for (TargetRun run : left) {
        if (!leftRuns.contains(run)) {
          leftRuns.addFirst(run);
        }
      }
    }
    onRead.accept(new Contents(others, left));
    return upToDate;
  }

  private Optional<InstanceRecord> parse(Map.Entry<String, byte[]> entry) {
    try {
      InstanceRecord record = InstanceRecord.parseFrom(entry.getValue());
      boolean valid =
          Names.isName(record.getNode())
              && Names.isName(record.getZone())
              && Names.isName(record.getRegion())
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
    return record.getHost().equals(settings.nodes().host())
        && record.getPort() == settings.nodes().port()
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
