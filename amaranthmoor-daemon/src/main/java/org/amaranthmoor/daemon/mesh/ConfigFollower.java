package org.amaranthmoor.daemon.mesh;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.yaml.Parsed;

/**
 * Follows the operator's configuration on a thread of its own, as long as the watch says that this
 * node reads it.
 *
 * <p>Safe for use by several threads.
 */
final class ConfigFollower implements AutoCloseable {

  /**
   * Pause after a change, in milliseconds, so that changes in quick succession are read together; a
   * small part of the time in which a change must be in force.
   */
  private static final long PAUSE_AFTER_CHANGE_MILLIS = 250;

  /** Time between two looks at the watch while this node does not read, in milliseconds. */
  private static final long POLICY_POLL_MILLIS = 100;

  private final ConfigFeed feed;
  private final Consumer<RoutingConfig> onConfig;
  private final ConfigReadPolicy readPolicy;
  private final TimeSource time;
  private final EventLog log;
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
   * @param feed where configurations come from
   * @param onConfig takes each configuration
   * @param readPolicy says whether this node reads
   * @param time the time
   * @param log told of changes and failures
   */
  ConfigFollower(
      ConfigFeed feed,
      Consumer<RoutingConfig> onConfig,
      ConfigReadPolicy readPolicy,
      TimeSource time,
      EventLog log) {
    this.feed = feed;
    this.onConfig = onConfig;
    this.readPolicy = readPolicy;
    this.time = time;
    this.log = log;
    this.thread = Thread.ofVirtual().name("config-follower").unstarted(this::run);
  }

  void start() {
    thread.start();
  }

  /**
   * Ends a read that waits in an earlier epoch of the source, whose offsets stand for other records
   * now. Any later read begins with the newest configuration.
   *
   * @param epoch the epoch of the source
   */
  void abortReadBefore(SourceEpoch epoch) {
    boolean hasPosition = !position.equals(ConfigFeed.START);
    if (readInProgress && hasPosition && position.epoch().compareTo(epoch) < 0) {
      readAborted = true;
      thread.interrupt();
    }
  }

  /** {@return whether the feed answered last time} */
  boolean available() {
    return available;
  }

  private void run() {
    while (!closed) {
      try {
        if (shouldRead()) {
          readOnce();
        } else {
          Thread.sleep(POLICY_POLL_MILLIS);
        }
      } catch (InterruptedException e) {
        logInterrupted();
      } catch (RuntimeException e) {
        log.warn("config-follower-failed", () -> "error=" + EventLog.quote(e.toString()));
      }
    }
  }

  // An interrupt ends a read that waits, either because the node stops or to read from the start.
  private void logInterrupted() {
    log.info(
        "config-follower-interrupted", () -> "closed=" + closed + " position-void=" + readAborted);
  }

  private boolean shouldRead() {
    boolean neverRead = position.equals(ConfigFeed.START);
    boolean shouldRead = readPolicy.shouldRead(neverRead, time.nanos());
    // Pauses after a failure are told by the loss of the feed.
    if (shouldRead != loggedShouldRead && available) {
      loggedShouldRead = shouldRead;
      log.info("config-reading", () -> "reads=" + shouldRead + " position=" + position.offset());
    }
    return shouldRead;
  }

  private void readOnce() throws InterruptedException {
    readInProgress = true;
    ConfigFeed.ReadResult result = feed.readAfter(position);
    readInProgress = false;
    if (readAborted) {
      readAborted = false;
      // The interrupt that ended the read must not end the next one.
      Thread.interrupted();
      return;
    }
    switch (result) {
      case ConfigFeed.ReadResult.Document found -> {
        setAvailable(true, "");
        readPolicy.onReadSuccess();
        position = found.position();
        decodeAndPublish(found.document());
        Thread.sleep(PAUSE_AFTER_CHANGE_MILLIS);
      }
      case ConfigFeed.ReadResult.NoDocument none -> {
        setAvailable(true, "");
        readPolicy.onReadSuccess();
        position = none.position();
      }
      case ConfigFeed.ReadResult.Unavailable unavailable -> {
        setAvailable(false, unavailable.detail());
        readPolicy.onReadFailure(ThreadLocalRandom.current().nextDouble(), time.nanos());
      }
    }
  }

  private void decodeAndPublish(byte[] document) {
    switch (feed.decode(document)) {
      case Parsed.Valid<RoutingConfig> valid -> onConfig.accept(valid.value());
      case Parsed.Invalid<RoutingConfig> invalid ->
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
