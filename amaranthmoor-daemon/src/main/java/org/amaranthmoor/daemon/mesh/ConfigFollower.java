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
  private static final long LOOK_MILLIS = 100;

  private final ConfigFeed feed;
  private final Consumer<RoutingConfig> listener;
  private final ConfigReadPolicy watch;
  private final TimeSource time;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean available;
  private volatile boolean closed;
  private boolean reading = true;
  private volatile boolean waiting;
  private volatile boolean voided;
  private volatile ConfigFeed.Position position = ConfigFeed.START;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param feed where configurations come from
   * @param listener takes each configuration
   * @param watch says whether this node reads
   * @param time the time
   * @param log told of changes and failures
   */
  ConfigFollower(
      ConfigFeed feed,
      Consumer<RoutingConfig> listener,
      ConfigReadPolicy watch,
      TimeSource time,
      EventLog log) {
    this.feed = feed;
    this.listener = listener;
    this.watch = watch;
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
  void endReadBefore(SourceEpoch epoch) {
    boolean started = !position.equals(ConfigFeed.START);
    if (waiting && started && position.epoch().compareTo(epoch) < 0) {
      voided = true;
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
        if (reads()) {
          step();
        } else {
          Thread.sleep(LOOK_MILLIS);
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
    log.info("config-follower-interrupted", () -> "closed=" + closed + " position-void=" + voided);
  }

  private boolean reads() {
    boolean nothingYet = position.equals(ConfigFeed.START);
    boolean now = watch.shouldRead(nothingYet, time.nanos());
    // Pauses after a failure are told by the loss of the feed.
    if (now != reading && available) {
      reading = now;
      log.info("config-reading", () -> "reads=" + now + " position=" + position.offset());
    }
    return now;
  }

  private void step() throws InterruptedException {
    waiting = true;
    ConfigFeed.ReadResult found = feed.readAfter(position);
    waiting = false;
    if (voided) {
      voided = false;
      // The interrupt that ended the read must not end the next one.
      Thread.interrupted();
      return;
    }
    switch (found) {
      case ConfigFeed.ReadResult.Document read -> {
        setAvailable(true, "");
        watch.onReadSuccess();
        position = read.position();
        take(read.document());
        Thread.sleep(PAUSE_AFTER_CHANGE_MILLIS);
      }
      case ConfigFeed.ReadResult.NoDocument none -> {
        setAvailable(true, "");
        watch.onReadSuccess();
        position = none.position();
      }
      case ConfigFeed.ReadResult.Unavailable unavailable -> {
        setAvailable(false, unavailable.detail());
        watch.onReadFailure(ThreadLocalRandom.current().nextDouble(), time.nanos());
      }
    }
  }

  private void take(byte[] document) {
    switch (feed.decode(document)) {
      case Parsed.Valid<RoutingConfig> valid -> listener.accept(valid.value());
      case Parsed.Invalid<RoutingConfig> invalid ->
          log.warn(
              "config-unreadable",
              () -> "problem=" + EventLog.quote(invalid.problems().getFirst().toString()));
    }
  }

  private void setAvailable(boolean now, String detail) {
    if (available != now) {
      available = now;
      if (now) {
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
