package org.amaranthmoor.daemon.mesh;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.yaml.ParseResult;

/**
 * Reads the operator's configuration and evacuations of zones on its own thread while the read
 * policy requires this node to read.
 *
 * <p>Invariant: no failure ends the thread, and what was read counts as read only once it is in
 * force, so that a failure in between has it read again. Safe for use by several threads.
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
  private final TimeSource time;
  private final EventLog log;
  private final FailureLoggingRunner tasks;
  private final Runnable step = this::step;
  private final Thread thread;
  private volatile boolean available;
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
   * @param time the clock
   * @param log receives changes and failures
   */
  ConfigFollower(
      ConfigFeed feed,
      Consumer<RoutingConfig> onConfig,
      BiConsumer<ConfigFeed.ZoneUpdate, ConfigFeed.Position> onZoneUpdate,
      ConfigReadPolicy readPolicy,
      TimeSource time,
      EventLog log) {
    this.feed = feed;
    this.onConfig = onConfig;
    this.onZoneUpdate = onZoneUpdate;
    this.readPolicy = readPolicy;
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
      readAborted = true;
      thread.interrupt();
    }
  }

  /** {@return whether the last read succeeded} */
  boolean available() {
    return available;
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
      readPolicy.onReadFailure(ThreadLocalRandom.current().nextDouble(), time.nanos());
      throw e;
    }
  }

  // An interrupt aborts a waiting read: either the node stops, or its position has become invalid.
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
    try {
      result = feed.readAfter(position);
    } finally {
      readInProgress = false;
      aborted = readAborted;
      if (aborted) {
        readAborted = false;
        // The interrupt that aborted this read must not abort the next one.
        Thread.interrupted();
      }
    }
    if (aborted) {
      return;
    }
    switch (result) {
      case ConfigFeed.ReadResult.Records records -> {
        onAnswered();
        // Before the configuration, so that the first one in force never routes to evacuated zones.
        onZoneUpdate.accept(records.zones(), records.position());
        records.document().ifPresent(this::decodeAndPublish);
        position = records.position();
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
        readPolicy.onReadFailure(ThreadLocalRandom.current().nextDouble(), time.nanos());
      }
    }
  }

  private void onAnswered() {
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
