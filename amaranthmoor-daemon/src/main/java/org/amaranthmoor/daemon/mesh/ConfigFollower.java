package org.amaranthmoor.daemon.mesh;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigWatch;
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
  private final ConfigWatch watch;
  private final TimeSource time;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean available;
  private volatile boolean closed;
  private boolean reading = true;
  private long position = ConfigFeed.START;

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
      ConfigWatch watch,
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
        return;
      } catch (RuntimeException e) {
        log.warn("config-follower-failed", () -> "error=" + EventLog.quote(e.toString()));
      }
    }
  }

  private boolean reads() {
    boolean nothingYet = position == ConfigFeed.START;
    boolean now = watch.reads(nothingYet, time.nanos());
    // Pauses after a failure are told by the loss of the feed.
    if (now != reading && available) {
      reading = now;
      log.info("config-reading", () -> "reads=" + now + " position=" + position);
    }
    return now;
  }

  private void step() throws InterruptedException {
    switch (feed.next(position)) {
      case ConfigFeed.Reading.Document read -> {
        setAvailable(true, "");
        watch.onAnswer();
        position = read.position();
        take(read.document());
        Thread.sleep(PAUSE_AFTER_CHANGE_MILLIS);
      }
      case ConfigFeed.Reading.Nothing nothing -> {
        setAvailable(true, "");
        watch.onAnswer();
        position = nothing.position();
      }
      case ConfigFeed.Reading.Unavailable unavailable -> {
        setAvailable(false, unavailable.detail());
        watch.onFailure(ThreadLocalRandom.current().nextDouble(), time.nanos());
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
        log.info("config-feed-reached", () -> "position=" + position);
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
