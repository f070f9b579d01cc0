package org.amaranthmoor.daemon.mesh;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.node.LostReadDetector;
import org.amaranthmoor.node.ReadWaitPolicy;
import org.amaranthmoor.yaml.ParseResult;

/**
 * Reads the operator's configuration and evacuations of zones on its own thread while the read
 * policy requires this node to read.
 *
 * <p>Invariant: no failure ends the thread, and what was read counts as read only once it is in
 * force, so that a failure in between has it read again. No read waits for longer than the wait
 * policy allows, and one whose response was lost is given up. Safe for use by several threads.
 */
final class ConfigFollower implements AutoCloseable {

  /**
   * Pause after a change, in milliseconds, so that changes in quick succession are read together.
   * It is a small part of the time within which a change must be in force.
   */
  private static final long PAUSE_AFTER_CHANGE_MILLIS = 250;

  /**
   * Interval at which the read policy is queried while this node does not read, in milliseconds.
   */
  private static final long POLICY_POLL_MILLIS = 100;

  private final ConfigFeed feed;
  private final Consumer<RoutingConfig> onConfig;
  private final BiConsumer<ConfigFeed.ZoneUpdate, ConfigFeed.Position> onZoneUpdate;
  private final ConfigReadPolicy readPolicy;
  private final ReadWaitPolicy waitPolicy;
  private final LostReadDetector lostReads = new LostReadDetector();
  private final TimeSource time;
  private final EventLog log;
  private final FailureLoggingRunner tasks;
  private final Runnable step = this::step;
  private final Thread thread;
  private volatile boolean available;
  private volatile long lastAnswerNanos;
  private volatile boolean closed;
  private boolean loggedShouldRead = true;
  private volatile boolean readInProgress;
  private volatile boolean readAborted;
  private volatile ConfigFeed.Position position = ConfigFeed.START;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param feed reads the source
   * @param onConfig receives each configuration
   * @param onZoneUpdate receives what each read states about evacuated zones, and its position
   * @param readPolicy decides whether this node reads
   * @param waitPolicy decides how long a read waits for a record
   * @param time the clock
   * @param log receives changes and failures
   */
  ConfigFollower(
      ConfigFeed feed,
      Consumer<RoutingConfig> onConfig,
      BiConsumer<ConfigFeed.ZoneUpdate, ConfigFeed.Position> onZoneUpdate,
      ConfigReadPolicy readPolicy,
      ReadWaitPolicy waitPolicy,
      TimeSource time,
      EventLog log) {
    this.feed = feed;
    this.onConfig = onConfig;
    this.onZoneUpdate = onZoneUpdate;
    this.readPolicy = readPolicy;
    this.waitPolicy = waitPolicy;
    this.time = time;
    this.log = log;
    this.tasks = new FailureLoggingRunner(log);
    this.thread = Thread.ofVirtual().name("config-follower").unstarted(this::run);
  }

  void start() {
    thread.start();
  }

  /**
   * Aborts a read that waits at a position of an earlier epoch of the source, because the offsets
   * of that epoch denote other records now. The next read begins with the newest configuration.
   *
   * @param epoch the current epoch of the source
   */
  void abortReadBefore(SourceEpoch epoch) {
    boolean hasPosition = !position.equals(ConfigFeed.START);
    if (readInProgress && hasPosition && position.epoch().compareTo(epoch) < 0) {
      abortRead();
    }
  }

  private void abortRead() {
    readAborted = true;
    thread.interrupt();
  }

  /**
   * Records the position up to which another node has read the source.
   *
   * @param peerPosition the position
   */
  void onPeerPosition(ConfigFeed.Position peerPosition) {
    lostReads.onPeerPosition(peerPosition.epoch(), peerPosition.offset(), time.nanos());
  }

  /**
   * Aborts a read that waits although other nodes have read records after its position; its
   * response was lost. The next read begins at the same position.
   */
  void abortLostRead() {
    if (lostReads.isLost(time.nanos())) {
      log.warn("config-read-lost", () -> "position=" + position.offset());
      lostReads.onReadEnded();
      abortRead();
    }
  }

  /** {@return whether the last read succeeded} */
  boolean available() {
    return available;
  }

  /** {@return the time since the source last answered, if the last read succeeded} */
  Optional<Duration> answerAge() {
    return available
        ? Optional.of(Duration.ofNanos(Math.max(0, time.nanos() - lastAnswerNanos)))
        : Optional.empty();
  }

  private void run() {
    while (!closed) {
      tasks.run("config-follower-failed", step);
    }
  }

  private void step() {
    try {
      if (shouldRead()) {
        readOnce();
      } else {
        Thread.sleep(POLICY_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      logInterrupted();
    } catch (RuntimeException | Error e) {
      onReadFailure();
      throw e;
    }
  }

  private void onReadFailure() {
    waitPolicy.onFailure();
    readPolicy.onReadFailure(ThreadLocalRandom.current().nextDouble(), time.nanos());
  }

  // An interrupt aborts a waiting read: the node stops, its position has become invalid, or its
  // response was lost.
  private void logInterrupted() {
    log.info(
        "config-follower-interrupted", () -> "closed=" + closed + " position-void=" + readAborted);
  }

  private boolean shouldRead() {
    boolean neverRead = position.equals(ConfigFeed.START);
    boolean shouldRead = readPolicy.shouldRead(neverRead, time.nanos());
    // The backoff after a failure is not logged here, as the loss of the feed has been logged.
    if (shouldRead != loggedShouldRead && available) {
      loggedShouldRead = shouldRead;
      log.info("config-reading", () -> "reads=" + shouldRead + " position=" + position.offset());
    }
    return shouldRead;
  }

  private void readOnce() throws InterruptedException {
    ConfigFeed.ReadResult result;
    boolean aborted;
    readInProgress = true;
    lostReads.onReadStarted(position.epoch(), position.offset(), time.nanos());
    try {
      result = feed.readAfter(position, waitPolicy.nextWait());
    } finally {
      lostReads.onReadEnded();
      readInProgress = false;
      aborted = readAborted;
      if (aborted) {
        readAborted = false;
        // The interrupt that aborted this read must not abort the next one.
        Thread.interrupted();
      }
    }
    if (aborted) {
      waitPolicy.onFailure();
      return;
    }
    switch (result) {
      case ConfigFeed.ReadResult.Records records -> {
        onAnswered();
        // Before the configuration, so that the first one in force never routes to evacuated zones.
        onZoneUpdate.accept(records.zones(), records.position());
        records.document().ifPresent(this::decodeAndPublish);
        recordProgress(records.position());
        if (records.document().isPresent()) {
          Thread.sleep(PAUSE_AFTER_CHANGE_MILLIS);
        }
      }
      case ConfigFeed.ReadResult.PositionInvalid invalid -> {
        onAnswered();
        position = ConfigFeed.START;
      }
      case ConfigFeed.ReadResult.Unavailable unavailable -> {
        setAvailable(false, unavailable.detail());
        onReadFailure();
      }
    }
  }

  private void recordProgress(ConfigFeed.Position next) {
    if (next.equals(position)) {
      waitPolicy.onNoRecords();
    } else {
      waitPolicy.onRecords();
    }
    position = next;
  }

  private void onAnswered() {
    lastAnswerNanos = time.nanos();
    setAvailable(true, "");
    readPolicy.onReadSuccess();
  }

  private void decodeAndPublish(byte[] document) {
    switch (feed.decode(document)) {
      case ParseResult.Valid<RoutingConfig> valid -> onConfig.accept(valid.value());
      case ParseResult.Invalid<RoutingConfig> invalid ->
          log.warn(
              "config-unreadable",
              () -> "problem=" + EventLog.quote(invalid.problems().getFirst().toString()));
    }
  }

  private void setAvailable(boolean reachable, String detail) {
    if (available != reachable) {
      available = reachable;
      if (reachable) {
        log.info(
            "config-feed-reached",
            () -> "position=" + position.offset() + " epoch=" + position.epoch());
      } else {
        log.warn("config-feed-lost", () -> "detail=" + EventLog.quote(detail));
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
